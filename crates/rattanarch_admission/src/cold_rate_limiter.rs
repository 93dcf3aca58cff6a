//! Rate limit for an upstream that reports itself cold.

use std::time::Duration;

use rattanarch_types::Moment;

/// Factor on the rate that operators configure. An upstream that gets its full rate has no capacity left to catch up
/// on requests that its start delayed.
const RATE_FACTOR: f64 = 1.1;

/// Requests that may be sent at once after a pause. Small enough to stay below any limit on a whole second.
const MAX_BURST: f64 = 3.0;

/// Token bucket that limits the rate of requests to an upstream while it is cold. Without it an
/// upstream would collapse under the load that it gets right after its start.
///
/// In any second it admits at most 1.1 times the rate and three more.
///
/// ```
/// use std::time::Duration;
/// use rattanarch_admission::ColdRateLimiter;
///
/// let second = Duration::from_secs(1);
/// let mut limiter = ColdRateLimiter::default();
/// limiter.set_cold(second * 10, second * 3, 20.0);
/// let sent = (0..1_000).filter(|ms| limiter.try_acquire(second * 10 + Duration::from_millis(*ms))).count();
/// assert!((20..=25).contains(&sent));
/// assert!(limiter.try_acquire(second * 14));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ColdRateLimiter {
    /// When the upstream is warm.
    cold_until: Moment,
    /// Requests a second.
    rate: f64,
    /// Requests that may be sent now; at most [`MAX_BURST`].
    tokens: f64,
    /// When `tokens` was last updated.
    updated: Moment,
}

impl ColdRateLimiter {
    /// Limits the upstream, which stays cold for `remaining` from `now`, to `rate` requests a second.
    pub fn set_cold(&mut self, now: Moment, remaining: Duration, rate: f64) {
        if !self.is_cold(now) {
            self.tokens = 1.0;
            self.updated = now;
        }
        self.rate = rate * RATE_FACTOR;
        self.cold_until = now + remaining;
    }

    /// Whether the upstream is cold at `now`.
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until
    }

    /// Requests a second that may be sent; infinite once the upstream is warm.
    pub fn rate(&self, now: Moment) -> f64 {
        if self.is_cold(now) { self.rate } else { f64::INFINITY }
    }

    /// Takes a token for one request; returns whether it may be sent now.
    pub fn try_acquire(&mut self, now: Moment) -> bool {
        if !self.is_cold(now) {
            return true;
        }
        let added = now.saturating_sub(self.updated).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + added).min(MAX_BURST);
        self.updated = self.updated.max(now);
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }

    /// When the next request may be sent; `None` if one may be sent now.
    pub fn next_permit(&self, now: Moment) -> Option<Moment> {
        if !self.is_cold(now) || self.tokens >= 1.0 {
            return None;
        }
        let delay = Duration::from_secs_f64((1.0 - self.tokens) / self.rate.max(0.1));
        Some((self.updated + delay).min(self.cold_until))
    }
}
