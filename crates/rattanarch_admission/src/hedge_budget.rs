//! When to send an idempotent request a second time.

use std::time::Duration;

use crate::token_bucket::TokenBucket;

/// Hedges for a thousand requests.
const SHARE: u32 = 50;
/// Hedges in a row.
const BURST: u32 = 5;
/// Part of the requests that is answered before the hedging delay.
const QUANTILE: f64 = 0.98;
/// Step of the delay's estimate, as a part of it.
const STEP: f64 = 0.05;
/// Delay before the first answer, in seconds.
const FIRST_DELAY: f64 = 0.05;
/// First estimate, as a multiple of the first service time.
const FIRST_FACTOR: f64 = 2.0;
/// Least estimate, in seconds: the estimate moves by parts of itself.
const MIN_DELAY: f64 = 0.000_1;

/// Bound on hedges, and the delay after which one is worth sending.
///
/// Only for idempotent requests without a key: a keyed one has one owner. The delay follows the
/// 98th percentile of the service times, so that about one request in fifty outlasts it; when
/// more do, because every upstream is slow, the budget lets only 5% be hedged.
///
/// ```
/// use std::time::Duration;
/// use rattanarch_admission::HedgeBudget;
///
/// let mut hedges = HedgeBudget::default();
/// for _ in 0..1_000 {
///     hedges.deposit();
///     hedges.observe(Duration::from_millis(4));
/// }
/// assert!(hedges.delay() < Duration::from_millis(6));
/// assert!(hedges.try_withdraw());
/// ```
#[derive(Clone, Debug)]
pub struct HedgeBudget {
    tokens: TokenBucket,
    /// Estimate of the quantile, in seconds; `None` before the first answer.
    delay: Option<f64>,
}

impl Default for HedgeBudget {
    fn default() -> Self {
        Self { tokens: TokenBucket::new(SHARE, BURST), delay: None }
    }
}

impl HedgeBudget {
    /// Notes a request's first attempt.
    pub fn deposit(&mut self) {
        self.tokens.deposit();
    }

    /// Learns the service time of a first attempt; for one that was overtaken by its hedge, the
    /// time that it has lasted.
    pub fn observe(&mut self, time: Duration) {
        let seconds = time.as_secs_f64();
        let delay = self.delay.unwrap_or(seconds * FIRST_FACTOR);
        let step = delay * STEP;
        let change = if seconds > delay { step * QUANTILE } else { -step * (1.0 - QUANTILE) };
        self.delay = Some((delay + change).max(MIN_DELAY));
    }

    /// How long to wait for an answer before a hedge.
    pub fn delay(&self) -> Duration {
        Duration::from_secs_f64(self.delay.unwrap_or(FIRST_DELAY))
    }

    /// Takes leave for one hedge.
    #[must_use]
    pub fn try_withdraw(&mut self) -> bool {
        self.tokens.try_withdraw()
    }
}
