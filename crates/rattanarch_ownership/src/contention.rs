//! Whether others update the record as well.

use std::time::Duration;

use rattanarch_types::Moment;
use rattanarch_types::Version;

/// How long an update of others, or a race lost to one, tells that there will be more: a few updates' time on a
/// platform that answers slowly.
const CROWD_TIME: Duration = Duration::from_secs(1);

/// Updates of others within that time that make a crowd; a lone one is over.
const CROWD: Version = 2;

/// Updates of others that this node knows of.
///
/// Tells a lone update, which its node had better send itself at once, from many at a time, most of which would lose
/// their race.
#[derive(Debug, Default)]
pub(crate) struct Contention {
    /// When the last of them became known, and how many did one after the other, less than [`CROWD_TIME`] apart.
    seen: Option<(Moment, Version)>,
}

impl Contention {
    /// Notes `updates` of others.
    pub(crate) fn count_updates(&mut self, now: Moment, updates: Version) {
        let before = self.seen.filter(|(at, _)| now < *at + CROWD_TIME).map_or(0, |seen| seen.1);
        self.seen = Some((now, before + updates));
    }

    /// Notes a lost race.
    pub(crate) fn count_lost_race(&mut self, now: Moment) {
        self.count_updates(now, CROWD);
    }

    /// Whether others are likely to write too.
    pub(crate) fn is_high(&self, now: Moment) -> bool {
        self.seen.is_some_and(|(at, updates)| now < at + CROWD_TIME && updates >= CROWD)
    }
}
