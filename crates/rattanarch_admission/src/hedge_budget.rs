//! Budget and delay for hedged requests.

use std::time::Duration;

use crate::token_bucket::TokenBucket;

/// Hedges per thousand requests.
const HEDGES_PER_THOUSAND: u32 = 50;
/// Hedges in a row.
const MAX_BURST: u32 = 5;
/// Quantile of the service times that the hedging delay follows.
const DELAY_QUANTILE: f64 = 0.98;
/// Step of the quantile estimate, relative to the estimate.
const STEP_RATIO: f64 = 0.05;
/// Delay before the first service time is known, in seconds.
const INITIAL_DELAY_SECONDS: f64 = 0.05;
/// First estimate, as a multiple of the first service time.
const INITIAL_FACTOR: f64 = 2.0;
/// Lower bound of the estimate, in seconds. Its steps are relative, so it could not grow again from zero.
const MIN_DELAY_SECONDS: f64 = 0.000_1;

/// Limits hedged requests, and estimates the delay after which a hedge is sent.
///
/// Only idempotent requests without a key are hedged: a keyed request has a single owner. The delay
/// follows the 98th percentile of the service times, so that about one request in fifty exceeds it.
/// When more do, because every upstream is slow, the budget limits hedges to 5% of the requests.
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
    /// Estimate of the quantile, in seconds; `None` before the first service time.
    delay: Option<f64>,
}

impl Default for HedgeBudget {
    fn default() -> Self {
        Self { tokens: TokenBucket::new(HEDGES_PER_THOUSAND, MAX_BURST), delay: None }
    }
}

impl HedgeBudget {
    /// Credits one request: a twentieth of a hedge, up to the maximum burst. To be called for each first attempt.
    pub fn deposit(&mut self) {
        self.tokens.deposit();
    }

    /// Updates the delay with the service time of a first attempt. If its hedge responded first, this is the
    /// time that the first attempt has taken so far.
    pub fn observe(&mut self, time: Duration) {
        let seconds = time.as_secs_f64();
        let delay = self.delay.unwrap_or(seconds * INITIAL_FACTOR);
        let step = delay * STEP_RATIO;
        let change =
            if seconds > delay { step * DELAY_QUANTILE } else { -step * (1.0 - DELAY_QUANTILE) };
        self.delay = Some((delay + change).max(MIN_DELAY_SECONDS));
    }

    /// Time without a response after which a hedge is sent.
    pub fn delay(&self) -> Duration {
        Duration::from_secs_f64(self.delay.unwrap_or(INITIAL_DELAY_SECONDS))
    }

    /// Takes one hedge from the budget; returns whether it is allowed.
    #[must_use]
    pub fn try_withdraw(&mut self) -> bool {
        self.tokens.try_withdraw()
    }
}
