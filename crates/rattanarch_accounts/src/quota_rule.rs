//! The platform's rule on the requests of an account, and how its excess is divided.

use std::time::Duration;

use crate::RateLimit;

/// Part of the excess of rate and burst that tokens granted in advance may use; see [`QuotaRule`].
const SPARE_RATE_RATIO: f64 = 0.3;
const SPARE_BURST_RATIO: f64 = 0.5;
const SPARE_SLACK_RATIO: f64 = 0.1;

/// Part of the excess that the static shares of all daemons may use. The rest of the rate's excess, 0.2 s of the rate
/// with the platform's figures, is for tokens whose reply was late or whose request was refused; the rest of the slack
/// is for the one token that two buckets may hold at least.
const STATIC_RATE_RATIO: f64 = 0.3;
const STATIC_BURST_RATIO: f64 = 0.5;
const STATIC_SLACK_RATIO: f64 = 0.8;

/// In any span of `window`, at most `(rate x window + burst) x (1 + excess) + slack` requests of an account may run,
/// over all daemons.
///
/// The bucket of the coordinator spends the rate and the burst. The excess and the slack are divided among the ways in
/// which more may run in a window than the bucket grants in it: tokens that were granted in advance before it, late
/// ones, and static shares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRule {
    /// Length of the spans.
    pub window: Duration,
    /// Excess as a ratio of the limit.
    pub excess: f64,
    /// Requests in addition.
    pub slack: f64,
}

impl QuotaRule {
    /// Most requests that may run in a span.
    pub fn allowed(&self, limit: RateLimit) -> f64 {
        (self.rate_sum(limit) + limit.burst()) * (1.0 + self.excess) + self.slack
    }

    /// Most tokens that may be granted in advance and be unused at any time.
    pub(crate) fn spare(&self, limit: RateLimit) -> f64 {
        self.rate_sum(limit) * self.excess * SPARE_RATE_RATIO
            + limit.burst() * self.excess * SPARE_BURST_RATIO
            + self.slack * SPARE_SLACK_RATIO
    }

    /// Most requests in a span without a coordinator.
    pub(crate) fn static_sum(&self, limit: RateLimit) -> f64 {
        self.rate_sum(limit) * self.excess * STATIC_RATE_RATIO
            + limit.burst() * self.excess * STATIC_BURST_RATIO
            + self.slack * STATIC_SLACK_RATIO
    }

    fn rate_sum(&self, limit: RateLimit) -> f64 {
        limit.rate() * self.window.as_secs_f64()
    }
}
