//! Rate limit for an upstream that is cold or has named a limit.

use std::time::Duration;

use rattanarch_types::Moment;

/// Factor on the rate that operators configure for cold upstreams. One that gets its full rate has no capacity left to
/// catch up on requests that its start delayed.
const COLD_RATE_FACTOR: f64 = 1.1;

/// Smallest burst after a pause, in requests. Small enough to stay below any limit on a whole second.
const MIN_BURST: f64 = 3.0;

/// Time at the limited rate that a burst may make up for, so that timers which fire late on a busy machine cost no
/// requests.
const BURST_TIME: Duration = Duration::from_millis(50);

/// Lowest rate from which a duration is computed, in requests a second: a limit may be zero.
const MIN_RATE: f64 = 1.0 / 60.0;

/// Token bucket for the requests to one upstream. While the upstream is cold, the rate is 1.1 times the one that
/// operators configure; while it names a limit itself, that limit; the lower one if both hold.
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
    /// When the upstream is warm.
    cold_until: Moment,
    /// Requests a second while it is cold.
    cold_rate: f64,
    /// Requests a second that the upstream itself takes; infinite without a limit.
    limit: f64,
    /// Requests that may be sent now; at most the burst.
    tokens: f64,
    /// When `tokens` was last updated.
    updated: Moment,
}

impl Default for RateLimiter {
    /// A limiter without a limit.
    fn default() -> Self {
        Self {
            cold_until: Moment::ZERO,
            cold_rate: f64::INFINITY,
            limit: f64::INFINITY,
            tokens: 0.0,
            updated: Moment::ZERO,
        }
    }
}

impl RateLimiter {
    /// Limits the upstream, which stays cold for `remaining` from `now`, to `rate` requests a second.
    pub fn set_cold(&mut self, now: Moment, remaining: Duration, rate: f64) {
        self.update(now);
        self.cold_rate = rate * COLD_RATE_FACTOR;
        self.cold_until = now + remaining;
    }

    /// Sets the requests a second that the upstream itself takes; `None` without a limit.
    pub fn set_limit(&mut self, now: Moment, limit: Option<f64>) {
        self.update(now);
        self.limit = limit.unwrap_or(f64::INFINITY);
    }

    /// Whether the upstream is cold at `now`.
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until
    }

    /// Mean time between two requests at the limit that the upstream names, a minute at most; zero without a limit.
    pub fn limit_interval(&self) -> Duration {
        interval(self.limit)
    }

    /// Requests a second that may be sent; infinite without a limit.
    pub fn rate(&self, now: Moment) -> f64 {
        if self.is_cold(now) { self.cold_rate.min(self.limit) } else { self.limit }
    }

    /// Mean time between two requests at the present rate, a minute at most; zero without a limit.
    pub fn interval(&self, now: Moment) -> Duration {
        interval(self.rate(now))
    }

    /// Takes a token for one request; returns whether it may be sent now.
    pub fn try_acquire(&mut self, now: Moment) -> bool {
        self.update(now);
        if self.rate(now).is_infinite() {
            return true;
        }
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }

    /// Returns the token of a request that is not sent after all.
    pub fn put_back(&mut self) {
        self.tokens += 1.0;
    }

    /// When the next request may be sent; `None` if one may be sent now.
    pub fn next_permit(&self, now: Moment) -> Option<Moment> {
        let rate = self.rate(now);
        if rate.is_infinite() || self.tokens >= 1.0 {
            return None;
        }
        let delay = Duration::from_secs_f64((1.0 - self.tokens) / rate.max(MIN_RATE));
        Some(self.updated + delay)
    }

    /// Adds the tokens of the time since the last update. A limit that begins allows one request at once.
    fn update(&mut self, now: Moment) {
        let rate = self.rate(now);
        if rate.is_infinite() {
            self.tokens = 1.0;
        } else {
            let added = now.saturating_sub(self.updated).as_secs_f64() * rate;
            let burst = MIN_BURST.max(rate * BURST_TIME.as_secs_f64());
            self.tokens = (self.tokens + added).min(burst);
        }
        self.updated = self.updated.max(now);
    }
}

fn interval(rate: f64) -> Duration {
    Duration::from_secs_f64(1.0 / rate.max(MIN_RATE))
}
