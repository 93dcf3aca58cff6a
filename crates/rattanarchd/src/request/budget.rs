//! Bound on retries.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Tokens that one request earns and one retry costs: one retry for ten requests.
const EARNED: u32 = 1;
const COST: u32 = 10;
/// Most tokens held: ten retries in a burst.
const MAX_TOKENS: u32 = 100;

/// Lets retries be at most a tenth of the requests, so that they never multiply an overload.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    tokens: AtomicU32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: AtomicU32::new(MAX_TOKENS) }
    }
}

impl RetryBudget {
    /// Notes a first attempt.
    pub(crate) fn earn(&self) {
        let more = |tokens: u32| Some((tokens + EARNED).min(MAX_TOKENS));
        let _ = self.tokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, more);
    }

    /// Takes leave for a retry; false if none is left.
    pub(crate) fn spend(&self) -> bool {
        let less = |tokens: u32| tokens.checked_sub(COST);
        self.tokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, less).is_ok()
    }
}
