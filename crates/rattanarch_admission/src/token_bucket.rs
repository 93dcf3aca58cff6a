//! Token bucket that is refilled by requests, not by time.

/// Tokens that one retry or hedge costs.
const TOKENS_PER_SEND: u32 = 1_000;

/// Token bucket that limits repeated sends to a share of the requests.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    /// At most `max`.
    tokens: u32,
    max: u32,
    /// Tokens that one request adds.
    per_request: u32,
}

impl TokenBucket {
    /// A full bucket that allows `per_thousand` repeated sends for a thousand requests, and `burst` in a row.
    pub(crate) fn new(per_thousand: u32, burst: u32) -> Self {
        let max = burst * TOKENS_PER_SEND;
        Self { tokens: max, max, per_request: per_thousand }
    }

    pub(crate) fn deposit(&mut self) {
        self.tokens = (self.tokens + self.per_request).min(self.max);
    }

    pub(crate) fn can_withdraw(&self) -> bool {
        self.tokens >= TOKENS_PER_SEND
    }

    /// Takes the tokens of one send; false if there are too few.
    pub(crate) fn try_withdraw(&mut self) -> bool {
        let enough = self.can_withdraw();
        if enough {
            self.tokens -= TOKENS_PER_SEND;
        }
        enough
    }
}
