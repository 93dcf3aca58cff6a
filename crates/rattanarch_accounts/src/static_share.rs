//! Share of one daemon in an account's quota without a coordinator.

use std::time::Duration;

use rattanarch_types::FlowId;
use rattanarch_types::Moment;

use crate::QuotaMember;
use crate::QuotaRule;
use crate::RateLimit;
use crate::quota_group::score;

/// Part of the static sum that the bursts of all sharing daemons take, one token each.
const BURST_RATIO: f64 = 0.5;

/// Share of one daemon in an account's quota without a coordinator: a rate, and a burst of one token.
///
/// The bursts alone of 66 daemons would exceed the slack of the platform's rule, so that only the daemons that rank
/// first for an account have a share.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StaticShare {
    /// Tokens a second; 0 without a share.
    rate: f64,
    /// From 0 to 1.
    level: f64,
    updated: Moment,
}

impl StaticShare {
    /// A share that is not set yet, and holds no token.
    pub(crate) fn new(now: Moment) -> Self {
        Self { rate: 0.0, level: 0.0, updated: now }
    }

    /// Sets the share of `me` among `members`.
    pub(crate) fn set(
        &mut self,
        (rule, limit): (&QuotaRule, RateLimit),
        flow: FlowId,
        (me, members): (QuotaMember, &[QuotaMember]),
    ) {
        let sum = rule.static_sum(limit);
        let sharing = ((sum * BURST_RATIO) as usize).min(members.len().max(1));
        let own = score(flow, me);
        let before = members.iter().filter(|member| **member != me && score(flow, **member) > own);
        let has_share = before.count() < sharing;
        let refill = (sum - sharing as f64) / rule.window.as_secs_f64();
        self.rate = if has_share { refill / sharing as f64 } else { 0.0 };
    }

    /// Takes a token.
    pub(crate) fn try_take(&mut self, now: Moment) -> bool {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now;
        self.level = (self.level + self.rate * passed).min(1.0);
        let taken = self.level >= 1.0;
        if taken {
            self.level -= 1.0;
        }
        taken
    }

    /// Time until there is a token; at most `limit`.
    pub(crate) fn wait(&self, limit: Duration) -> Duration {
        let wait = Duration::try_from_secs_f64((1.0 - self.level) / self.rate);
        wait.map_or(limit, |wait| wait.min(limit))
    }
}
