//! Bound on retries.

use crate::token_bucket::TokenBucket;

/// Retries for a thousand requests.
const SHARE: u32 = 100;
/// Retries in a row.
const BURST: u32 = 10;

/// Lets retries be at most a tenth of the requests, besides a burst of ten, so that they never
/// multiply an overload.
///
/// A caller keeps one for each service and one for each upstream; a retry has to fit both.
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
        Self { tokens: TokenBucket::new(SHARE, BURST) }
    }
}

impl RetryBudget {
    /// Notes a first attempt; retries earn nothing.
    pub fn deposit(&mut self) {
        self.tokens.deposit();
    }

    /// Takes leave for one retry from both budgets, or from neither.
    #[must_use]
    pub fn try_withdraw(service: &mut Self, upstream: &mut Self) -> bool {
        let enough = service.tokens.is_enough() && upstream.tokens.is_enough();
        enough && service.tokens.try_withdraw() && upstream.tokens.try_withdraw()
    }
}
