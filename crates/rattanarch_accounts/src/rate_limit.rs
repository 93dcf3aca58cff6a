//! Limit on the requests of an account.

/// Limit on the requests of an account over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests a second; finite and above 0.
    rate: f64,
    /// Requests in addition to the rate; finite and not negative.
    burst: f64,
}

impl RateLimit {
    /// The limit of `rate` requests a second and `burst` in addition; `None` if either is negative or not finite, or
    /// if the rate is 0.
    pub fn new(rate: f64, burst: f64) -> Option<Self> {
        let valid = rate.is_finite() && rate > 0.0 && burst.is_finite() && burst >= 0.0;
        valid.then_some(Self { rate, burst })
    }

    /// Requests a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Requests in addition to the rate.
    pub fn burst(&self) -> f64 {
        self.burst
    }
}
