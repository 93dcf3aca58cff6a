//! Rate limit for an upstream that is cold, fails or has named a limit.

use std::time::Duration;

use rattanarch_types::Moment;

/// Smallest burst after a pause, in requests. Small enough to stay below any limit on a whole second.
const MIN_BURST: f64 = 3.0;

/// Time at the limited rate that a burst may make up for, so that timers which fire late on a busy machine cost no
/// requests.
const BURST_TIME: Duration = Duration::from_millis(50);

/// Lowest rate from which a duration is computed, in requests a second: a limit may be zero.
const MIN_RATE: f64 = 1.0 / 60.0;

/// Token bucket for the requests to one upstream. The rate is the one of its [`UpstreamPace`](crate::UpstreamPace), or the
/// limit that it names itself, the lower one if both hold.
///
/// In any second it admits at most the rate and a burst of three requests or 50 ms at that rate.
///
/// ```
/// use std::time::Duration;
/// use rattanarch_admission::RateLimiter;
///
/// let second = Duration::from_secs(1);
/// let mut limiter = RateLimiter::default();
/// assert!(limiter.try_acquire(second * 9));
/// limiter.set_limit(second * 10, Some(20.0));
/// let sent = (0..1_000).filter(|ms| limiter.try_acquire(second * 10 + Duration::from_millis(*ms))).count();
/// assert!((19..=23).contains(&sent));
/// limiter.set_limit(second * 11, None);
/// assert!((0..100).all(|_| limiter.try_acquire(second * 11)));
/// ```
#[derive(Clone, Debug)]
pub struct RateLimiter {
    /// Requests a second by the upstream's pace; infinite without a limit.
    pace: f64,
    /// Requests a second that the upstream itself takes; infinite without a limit.
    limit: f64,
    /// Requests that may be sent now; at most the burst.
    tokens: f64,
    /// Requests that may be sent in addition; none without a limit.
    extra: f64,
    /// When `tokens` was last updated.
    updated: Moment,
}

impl Default for RateLimiter {
    /// A limiter without a limit.
    fn default() -> Self {
        Self {
            pace: f64::INFINITY,
            limit: f64::INFINITY,
            tokens: 0.0,
            extra: 0.0,
            updated: Moment::ZERO,
        }
    }
}

impl RateLimiter {
    /// Sets the requests a second by the upstream's pace, `None` without a limit, and adds `extra` requests that may be
    /// sent at once, unless the upstream names a limit itself.
    pub fn set_pace(&mut self, now: Moment, rate: Option<f64>, extra: f64) {
        self.update(now);
        self.pace = rate.unwrap_or(f64::INFINITY);
        if self.limit.is_infinite() {
            self.extra += extra;
        }
    }

    /// Sets the requests a second that the upstream itself takes; `None` without a limit.
    pub fn set_limit(&mut self, now: Moment, limit: Option<f64>) {
        self.update(now);
        self.limit = limit.unwrap_or(f64::INFINITY);
        if self.limit.is_finite() {
            self.extra = 0.0;
        }
    }

    /// Mean time between two requests at the limit that the upstream names, a minute at most; zero without a limit.
    pub fn limit_interval(&self) -> Duration {
        interval(self.limit)
    }

    /// Requests a second that may be sent; infinite without a limit.
    pub fn rate(&self) -> f64 {
        self.pace.min(self.limit)
    }

    /// Mean time between two requests at the present rate, a minute at most; zero without a limit.
    pub fn interval(&self) -> Duration {
        interval(self.rate())
    }

    /// Takes a token for one request; returns whether it may be sent now.
    pub fn try_acquire(&mut self, now: Moment) -> bool {
        self.update(now);
        if self.rate().is_infinite() {
            return true;
        }
        let granted = self.tokens + self.extra >= 1.0;
        if granted {
            // Tokens that time adds again are used first.
            let from_extra = (1.0 - self.tokens).clamp(0.0, self.extra);
            self.extra -= from_extra;
            self.tokens -= 1.0 - from_extra;
        }
        granted
    }

    /// Returns the token of a request that is not sent after all.
    pub fn put_back(&mut self) {
        self.tokens += 1.0;
    }

    /// When the next request may be sent; `None` if one may be sent now.
    pub fn next_permit(&self) -> Option<Moment> {
        let rate = self.rate();
        if rate.is_infinite() || self.tokens + self.extra >= 1.0 {
            return None;
        }
        let delay = Duration::from_secs_f64((1.0 - self.tokens - self.extra) / rate.max(MIN_RATE));
        Some(self.updated + delay)
    }

    /// Requests that may be sent at once after a pause, at `rate` a second.
    pub(crate) fn burst(rate: f64) -> f64 {
        MIN_BURST.max(rate * BURST_TIME.as_secs_f64())
    }

    /// Adds the tokens of the time since the last update. A limit that begins allows one request at once.
    fn update(&mut self, now: Moment) {
        let rate = self.rate();
        if rate.is_infinite() {
            (self.tokens, self.extra) = (1.0, 0.0);
        } else {
            let added = now.saturating_sub(self.updated).as_secs_f64() * rate;
            self.tokens = (self.tokens + added).min(Self::burst(rate));
        }
        self.updated = self.updated.max(now);
    }
}

fn interval(rate: f64) -> Duration {
    Duration::from_secs_f64(1.0 / rate.max(MIN_RATE))
}
