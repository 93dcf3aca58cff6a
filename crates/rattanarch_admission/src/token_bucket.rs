//! Token bucket that fills with requests, not with time.

/// Tokens that one action costs.
const COST: u32 = 1_000;

/// Bucket in thousandths of an action.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    /// At most `max`.
    held: u32,
    max: u32,
    /// Earned by one request, in thousandths of an action.
    share: u32,
}

impl TokenBucket {
    /// A full bucket: `share` thousandths of the requests may act, and `burst` of them in a row.
    pub(crate) fn new(share: u32, burst: u32) -> Self {
        let max = burst * COST;
        Self { held: max, max, share }
    }

    pub(crate) fn deposit(&mut self) {
        self.held = (self.held + self.share).min(self.max);
    }

    pub(crate) fn is_enough(&self) -> bool {
        self.held >= COST
    }

    /// Takes one action's tokens; false if they are not there.
    pub(crate) fn try_withdraw(&mut self) -> bool {
        let enough = self.is_enough();
        if enough {
            self.held -= COST;
        }
        enough
    }
}
