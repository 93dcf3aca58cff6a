//! What daemons repeat together.

use std::time::Duration;

use rattanarch_routing::RetryKind;
use rattanarch_routing::RetryLimits;
use rattanarch_routing::RetryShare;

const BOUNDS: RetryLimits = RetryLimits { ratio: 0.2, window: Duration::from_secs(10), slack: 60 };

/// Plays `daemons` that each get `rate` requests a second and want to repeat every one of them;
/// returns the most repeats in any window, and the requests in one.
fn play(daemons: usize, rate: u64, kind: RetryKind) -> (usize, u64) {
    let mut shares = vec![RetryShare::new(BOUNDS); daemons];
    let mut repeats = Vec::new();
    for step in 0..rate * 30 {
        let now = Duration::from_millis(step * 1_000 / rate);
        for share in &mut shares {
            share.count_request(now);
            if share.try_spend(now, daemons, kind) {
                repeats.push(now);
            }
        }
    }
    let window = |start: &Duration| {
        repeats.iter().filter(|at| *at >= start && **at < *start + BOUNDS.window).count()
    };
    let most = repeats.iter().map(window).max().unwrap_or_default();
    (most, rate * daemons as u64 * 10)
}

/// Shares of any number of daemons add up to less than the bound.
#[test]
fn shares_add_up() {
    for daemons in [1, 11, 60] {
        let (most, requests) = play(daemons, 20, RetryKind::Refused);
        let allowed = requests as f64 * BOUNDS.ratio + f64::from(BOUNDS.slack);
        assert!((most as f64) < allowed, "{daemons} daemons: {most} of {allowed}");
        assert!(most as f64 > allowed / 4.0, "{daemons} daemons: {most} of {allowed}");
    }
}

/// Repeats of what may have run leave room for those of their own calls.
#[test]
fn runs_take_less() {
    let (runs, _) = play(11, 20, RetryKind::MayHaveRun);
    let (refused, _) = play(11, 20, RetryKind::Refused);
    assert!(runs * 3 < refused * 2, "{runs} {refused}");
}

/// Plays the heaviest day of a service that is called: callers of another one, of whose runs seven in ten
/// make two calls, repeat at once, and every request to either is to be repeated. Runs fail for their calls, so
/// that those that are repeated make two each, beside the next instance. The bound of the called service
/// holds with them, and callers get most of what it allows.
#[test]
fn calls_of_repeats() {
    const DAEMONS: usize = 11;
    const SECONDS: u64 = 30;
    // Requests a second at each daemon: of callers to the one and the other.
    let (calling, called) = (95, 29);
    let mut callers = vec![RetryShare::new(BOUNDS); DAEMONS];
    let mut calls = vec![RetryShare::new(BOUNDS); DAEMONS];
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    for step in 0..SECONDS * 1_000 {
        let now = Duration::from_millis(step);
        let due = |rate: u64| step * rate / 1_000 != (step + 1) * rate / 1_000;
        for daemon in 0..DAEMONS {
            let mut first = usize::from(due(called));
            if due(calling) {
                callers[daemon].count_request(now);
                first += if step % 10 < 7 { 2 } else { 0 };
                if callers[daemon].try_spend(now, DAEMONS, RetryKind::MayHaveRun) {
                    for _ in 0..2 {
                        calls[(daemon + 1) % DAEMONS].count_retry(now);
                        repeats.push(now);
                    }
                }
            }
            for _ in 0..first {
                requests.push(now);
                calls[daemon].count_request(now);
                if calls[daemon].try_spend(now, DAEMONS, RetryKind::Refused) {
                    repeats.push(now);
                }
            }
        }
    }
    for start in (10..SECONDS - 10).map(Duration::from_secs) {
        let within = |at: &&Duration| **at >= start && **at < start + BOUNDS.window;
        let (sent, asked) =
            (repeats.iter().filter(within).count(), requests.iter().filter(within).count());
        let allowed = asked as f64 * BOUNDS.ratio + f64::from(BOUNDS.slack);
        assert!((sent as f64) < allowed, "{sent} of {allowed}");
        assert!(sent as f64 > allowed / 2.0, "{sent} of {allowed}");
    }
}
