//! Retries of all daemons together.

use std::time::Duration;

use rattanarch_routing::RetryKind;
use rattanarch_routing::RetryLimits;
use rattanarch_routing::RetryShare;

const LIMITS: RetryLimits = RetryLimits { ratio: 0.2, window: Duration::from_secs(10), slack: 60 };

/// Simulates `daemons` that each get `rate` requests per second and try to retry every one of them; returns the
/// highest number of retries in any window, and the number of requests in one.
fn simulate(daemons: usize, rate: u64, kind: RetryKind) -> (usize, u64) {
    let mut shares = vec![RetryShare::new(LIMITS); daemons];
    let mut retries = Vec::new();
    for step in 0..rate * 30 {
        let now = Duration::from_millis(step * 1_000 / rate);
        for share in &mut shares {
            share.count_request(now);
            if share.try_spend(now, daemons, kind) {
                retries.push(now);
            }
        }
    }
    let window = |start: &Duration| {
        retries.iter().filter(|at| *at >= start && **at < *start + LIMITS.window).count()
    };
    let most = retries.iter().map(window).max().unwrap_or_default();
    (most, rate * daemons as u64 * 10)
}

/// The shares of any number of daemons add up to less than the limit, and to a quarter of it at least.
#[test]
fn shares_add_up() {
    for daemons in [1, 11, 60] {
        let (most, requests) = simulate(daemons, 20, RetryKind::Refused);
        let allowed = requests as f64 * LIMITS.ratio + f64::from(LIMITS.slack);
        assert!((most as f64) < allowed, "{daemons} daemons: {most} of {allowed}");
        assert!(most as f64 > allowed / 4.0, "{daemons} daemons: {most} of {allowed}");
    }
}

/// Retries of requests that may have run leave room for retries of the calls that they make.
#[test]
fn retried_runs_limited() {
    let (runs, _) = simulate(11, 20, RetryKind::MayHaveRun);
    let (refused, _) = simulate(11, 20, RetryKind::Refused);
    assert!(runs * 3 < refused * 2, "{runs} {refused}");
}

/// Simulates the highest load on a service that is called by another one: seven in ten runs of the calling service
/// make two calls, and every request to either service needs a retry, which is sent at once. Runs fail because of
/// their calls, so each retried run makes two calls, from the next instance. The limit of the called service holds
/// with those calls included, and callers get most of what it allows.
#[test]
fn calls_of_retries() {
    const DAEMONS: usize = 11;
    const SECONDS: u64 = 30;
    // Requests per second that callers send to each daemon for each of the two services.
    let (calling, called) = (95, 29);
    let mut callers = vec![RetryShare::new(LIMITS); DAEMONS];
    let mut calls = vec![RetryShare::new(LIMITS); DAEMONS];
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
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
                        retries.push(now);
                    }
                }
            }
            for _ in 0..first {
                requests.push(now);
                calls[daemon].count_request(now);
                if calls[daemon].try_spend(now, DAEMONS, RetryKind::Refused) {
                    retries.push(now);
                }
            }
        }
    }
    for start in (10..SECONDS - 10).map(Duration::from_secs) {
        let within = |at: &&Duration| **at >= start && **at < start + LIMITS.window;
        let (sent, received) =
            (retries.iter().filter(within).count(), requests.iter().filter(within).count());
        let allowed = received as f64 * LIMITS.ratio + f64::from(LIMITS.slack);
        assert!((sent as f64) < allowed, "{sent} of {allowed}");
        assert!(sent as f64 > allowed / 2.0, "{sent} of {allowed}");
    }
}
