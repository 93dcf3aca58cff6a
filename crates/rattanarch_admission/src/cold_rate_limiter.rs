//! Pace of requests to an upstream that says it is cold.

use std::time::Duration;

use rattanarch_types::Moment;

/// Part of the rate that operators state which is used: an upstream that gets it in full has no
/// room for what its start delays.
const USED_PART: f64 = 1.1;

/// Requests that may be sent at once after a pause; below what any bound on a second allows.
const BURST: f64 = 3.0;

/// Bounds the requests a second to an upstream while it is cold. Answers the load that meets an
/// upstream right after its start, which it would fall over under.
///
/// In any second it lets through at most 1.1 times the rate and three more.
///
/// ```
/// use std::time::Duration;
/// use rattanarch_admission::ColdRateLimiter;
///
/// let second = Duration::from_secs(1);
/// let mut pace = ColdRateLimiter::default();
/// pace.set_cold(second * 10, second * 3, 20.0);
/// let sent = (0..1_000).filter(|ms| pace.try_acquire(second * 10 + Duration::from_millis(*ms))).count();
/// assert!((20..=25).contains(&sent));
/// assert!(pace.try_acquire(second * 14));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ColdRateLimiter {
    /// End of the cold time.
    until: Moment,
    /// Requests a second.
    rate: f64,
    /// Requests that may be sent now; at most [`BURST`].
    held: f64,
    /// When `held` was counted.
    counted: Moment,
}

impl ColdRateLimiter {
    /// Notes at `now` that the upstream stays cold for `left` and bears `rate` requests a second.
    pub fn set_cold(&mut self, now: Moment, left: Duration, rate: f64) {
        if !self.is_cold(now) {
            self.held = 1.0;
            self.counted = now;
        }
        self.rate = rate * USED_PART;
        self.until = now + left;
    }

    /// Whether the upstream is cold.
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.until
    }

    /// Requests a second that may be sent; infinite once it is warm.
    pub fn rate(&self, now: Moment) -> f64 {
        if self.is_cold(now) { self.rate } else { f64::INFINITY }
    }

    /// Takes leave to send one request.
    pub fn try_acquire(&mut self, now: Moment) -> bool {
        if !self.is_cold(now) {
            return true;
        }
        let gained = now.saturating_sub(self.counted).as_secs_f64() * self.rate;
        self.held = (self.held + gained).min(BURST);
        self.counted = self.counted.max(now);
        let granted = self.held >= 1.0;
        if granted {
            self.held -= 1.0;
        }
        granted
    }

    /// When the next request may be sent, if not now.
    pub fn next_permit(&self, now: Moment) -> Option<Moment> {
        if !self.is_cold(now) || self.held >= 1.0 {
            return None;
        }
        let pause = Duration::from_secs_f64((1.0 - self.held) / self.rate.max(0.1));
        Some((self.counted + pause).min(self.until))
    }
}
