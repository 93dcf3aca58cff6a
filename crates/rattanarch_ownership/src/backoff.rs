//! Delays between updates after conflicts and failures.

use std::time::Duration;

use rattanarch_types::Moment;

use crate::rng::Rng;

/// First delay of a member, for whose keys requests may wait: a few round trips to the platform.
const MEMBER_FIRST_DELAY: Duration = Duration::from_millis(80);
/// First delay of a node that joins: a whole rack or data centre may be joining with it.
const JOIN_FIRST_DELAY: Duration = Duration::from_millis(320);
const MEMBER_MAX_DELAY: Duration = Duration::from_millis(640);
const JOIN_MAX_DELAY: Duration = Duration::from_millis(1_280);

/// Exponential backoff with jitter.
#[derive(Debug, Default)]
pub(crate) struct Backoff {
    failures: u32,
    until: Moment,
}

impl Backoff {
    /// Whether the delay is over.
    pub(crate) fn is_over(&self, now: Moment) -> bool {
        now >= self.until
    }

    /// End of the delay; `None` if there has been no failure since the last success.
    pub(crate) fn end(&self) -> Option<Moment> {
        (self.failures > 0).then_some(self.until)
    }

    /// Handles a lost race. A member retries the first one at once, from the record that won, because slices that it has
    /// already given up are not served meanwhile.
    pub(crate) fn lost_race(&mut self, now: Moment, rng: &mut Rng, is_member: bool) {
        if is_member && self.failures == 0 {
            self.failures = 1;
            self.until = now;
        } else {
            self.failed(now, rng, is_member);
        }
    }

    /// Starts the next, longer delay and returns its end.
    pub(crate) fn failed(&mut self, now: Moment, rng: &mut Rng, is_member: bool) -> Moment {
        let (first, max) = if is_member {
            (MEMBER_FIRST_DELAY, MEMBER_MAX_DELAY)
        } else {
            (JOIN_FIRST_DELAY, JOIN_MAX_DELAY)
        };
        let factor = 1 << self.failures.min(6);
        self.failures += 1;
        self.until = now + rng.jitter((first * factor).min(max));
        self.until
    }

    /// Ends the delay and forgets past failures.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }
}
