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

/// Requests that may have run get fewer than two thirds of the retries that refused ones get, because each repeated run
/// makes calls that count as retries of the called service.
#[test]
fn retried_runs_limited() {
    let (runs, _) = simulate(11, 20, RetryKind::MayHaveRun);
    let (refused, _) = simulate(11, 20, RetryKind::Refused);
    assert!(runs * 3 < refused * 2, "{runs} {refused}");
}

/// Retries stay below the called service's limit even when they include the calls that retried runs of the calling
/// service make.
///
/// Highest load: every request to either service needs a retry, which is sent at once. Seven in ten runs of the calling
/// service make two calls each. Runs fail because of their calls, so each retried run makes two calls, from the next
/// instance. More than half of the retries that the limit allows are sent.
#[test]
fn calls_of_retries() {
    const DAEMONS: usize = 11;
    const SECONDS: u64 = 30;
    // Requests per second that callers send to each daemon for each of the two services.
    let (calling_rate, called_rate) = (95, 29);
    let mut calling_shares = vec![RetryShare::new(LIMITS); DAEMONS];
    let mut called_shares = vec![RetryShare::new(LIMITS); DAEMONS];
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for step in 0..SECONDS * 1_000 {
        let now = Duration::from_millis(step);
        let due = |rate: u64| step * rate / 1_000 != (step + 1) * rate / 1_000;
        for daemon in 0..DAEMONS {
            let mut first_attempts = usize::from(due(called_rate));
            if due(calling_rate) {
                calling_shares[daemon].count_request(now);
                first_attempts += if step % 10 < 7 { 2 } else { 0 };
                if calling_shares[daemon].try_spend(now, DAEMONS, RetryKind::MayHaveRun) {
                    for _ in 0..2 {
                        called_shares[(daemon + 1) % DAEMONS].count_retry(now);
                        retries.push(now);
                    }
                }
            }
            for _ in 0..first_attempts {
                requests.push(now);
                called_shares[daemon].count_request(now);
                if called_shares[daemon].try_spend(now, DAEMONS, RetryKind::Refused) {
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
