//! Pauses between updates that meet conflicts.

use std::time::Duration;

use rattanarch_types::Moment;

use crate::rng::Rng;

/// First pause of a member, which has keys waiting: a few round trips to the platform.
const MEMBER_PAUSE: Duration = Duration::from_millis(80);
/// First pause of a node that joins, one of a rack or a data centre perhaps.
const JOIN_PAUSE: Duration = Duration::from_millis(320);
/// Longest pauses of the two.
const MEMBER_LIMIT: Duration = Duration::from_millis(640);
const JOIN_LIMIT: Duration = Duration::from_millis(1_280);

/// Exponential backoff with jitter.
#[derive(Debug, Default)]
pub(crate) struct Backoff {
    failures: u32,
    until: Moment,
}

impl Backoff {
    /// Whether the pause is over.
    pub(crate) fn is_over(&self, now: Moment) -> bool {
        now >= self.until
    }

    /// When the pause ends; `None` without one.
    pub(crate) fn end(&self) -> Option<Moment> {
        (self.failures > 0).then_some(self.until)
    }

    /// Notes a lost race. A member that has lost one alone goes on at once from the record that won:
    /// slices that it has given up already are not served meanwhile.
    pub(crate) fn lose(&mut self, now: Moment, rng: &mut Rng, is_member: bool) {
        if is_member && self.failures == 0 {
            self.failures = 1;
            self.until = now;
        } else {
            self.fail(now, rng, is_member);
        }
    }

    /// Starts the next, longer pause and returns its end.
    pub(crate) fn fail(&mut self, now: Moment, rng: &mut Rng, is_member: bool) -> Moment {
        let (first, limit) =
            if is_member { (MEMBER_PAUSE, MEMBER_LIMIT) } else { (JOIN_PAUSE, JOIN_LIMIT) };
        let factor = 1 << self.failures.min(6);
        self.failures += 1;
        self.until = now + rng.jitter((first * factor).min(limit));
        self.until
    }

    /// Ends the pause.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }
}
