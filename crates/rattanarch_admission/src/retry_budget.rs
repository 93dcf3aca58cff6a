//! Budget for retries.

use crate::token_bucket::TokenBucket;

/// Retries per thousand requests.
const RETRIES_PER_THOUSAND: u32 = 100;
/// Retries in a row.
const MAX_BURST: u32 = 10;

/// Limits retries to a tenth of the requests, plus a burst of ten, so that retries never multiply
/// an overload.
///
/// A caller keeps one budget per service and one per upstream. A retry must be allowed by both, and is charged to both.
///
/// ```
/// use rattanarch_admission::RetryBudget;
///
/// let (mut service, mut upstream) = (RetryBudget::default(), RetryBudget::default());
/// for _ in 0..10 {
///     assert!(RetryBudget::try_withdraw(&mut service, &mut upstream));
/// }
/// assert!(!RetryBudget::try_withdraw(&mut service, &mut upstream));
/// for _ in 0..10 {
///     service.deposit();
///     upstream.deposit();
/// }
/// assert!(RetryBudget::try_withdraw(&mut service, &mut upstream));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: TokenBucket,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: TokenBucket::new(RETRIES_PER_THOUSAND, MAX_BURST) }
    }
}

impl RetryBudget {
    /// Credits one request: a tenth of a retry, up to the maximum burst. To be called for first attempts only, not for
    /// retries.
    pub fn deposit(&mut self) {
        self.tokens.deposit();
    }

    /// Takes one retry from both budgets, or from neither; returns whether the retry is allowed.
    #[must_use]
    pub fn try_withdraw(service: &mut Self, upstream: &mut Self) -> bool {
        let enough = service.tokens.can_withdraw() && upstream.tokens.can_withdraw();
        enough && service.tokens.try_withdraw() && upstream.tokens.try_withdraw()
    }
}
