//! Time during which a slice that moves is not served.

use std::time::Duration;

/// Time from the reply that takes a slice away from an upstream until the daemon of the next owner knows the record that
/// names it: some 100 ms until the upstream confirms by a heartbeat, the rest for the store and the fetch.
const RELEASE_TIME: Duration = Duration::from_millis(200);

/// Time during which a slice is not served that its owner gives away now: until the first heartbeat of the next owner's
/// upstream after the release was recorded.
///
/// `reported` is the time until that upstream's next heartbeat, and the age of this report; `None` if it is not known.
/// `interval` is the time between two heartbeats.
pub fn expected_gap(reported: Option<(Duration, Duration)>, interval: Duration) -> Duration {
    let Some((next, age)) = reported.filter(|_| !interval.is_zero()) else {
        return RELEASE_TIME + interval / 2;
    };
    let recorded = age + RELEASE_TIME;
    let missed = recorded.saturating_sub(next).div_duration_f64(interval).ceil();
    next + interval.mul_f64(missed) - age
}
