//! When to send an idempotent request a second time.

use std::time::Duration;

use crate::tokens::Tokens;

/// Hedges for a thousand requests.
const SHARE: u32 = 50;
/// Hedges in a row.
const BURST: u32 = 5;
/// Part of the requests that is answered before the hedging delay.
const QUANTILE: f64 = 0.95;
/// Step of the delay's estimate, as a part of it.
const STEP: f64 = 0.05;
/// Estimate before the first answer, in seconds.
const FIRST_DELAY: f64 = 0.05;
/// Least estimate, in seconds: the estimate moves by parts of itself.
const MIN_DELAY: f64 = 0.000_1;

/// Bound on hedges, and the delay after which one is worth sending.
///
/// Only for idempotent requests without a key: a keyed one has one owner. The delay follows the
/// 95th percentile of the service times, so that about one request in twenty outlasts it; when
/// more do, because every upstream is slow, the budget lets only 5% be hedged.
///
/// ```
/// use std::time::Duration;
/// use rattanarch_admission::HedgeBudget;
///
/// let mut hedges = HedgeBudget::default();
/// for _ in 0..1_000 {
///     hedges.earn();
///     hedges.note(Duration::from_millis(4));
/// }
/// assert!(hedges.delay() < Duration::from_millis(6));
/// assert!(hedges.spend());
/// ```
#[derive(Clone, Debug)]
pub struct HedgeBudget {
    tokens: Tokens,
    /// Estimate of the quantile, in seconds.
    delay: f64,
}

impl Default for HedgeBudget {
    fn default() -> Self {
        Self { tokens: Tokens::new(SHARE, BURST), delay: FIRST_DELAY }
    }
}

impl HedgeBudget {
    /// Notes a request's first attempt.
    pub fn earn(&mut self) {
        self.tokens.earn();
    }

    /// Learns the service time of a first attempt; for one that was overtaken by its hedge, the
    /// time that it has lasted.
    pub fn note(&mut self, time: Duration) {
        let step = self.delay * STEP;
        if time.as_secs_f64() > self.delay {
            self.delay += step * QUANTILE;
        } else {
            self.delay -= step * (1.0 - QUANTILE);
        }
        self.delay = self.delay.max(MIN_DELAY);
    }

    /// How long to wait for an answer before a hedge.
    pub fn delay(&self) -> Duration {
        Duration::from_secs_f64(self.delay)
    }

    /// Takes leave for one hedge.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        self.tokens.spend()
    }
}
