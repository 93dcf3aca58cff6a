//! Contention for the record.

use std::time::Duration;

use rattanarch_types::Moment;
use rattanarch_types::Version;

/// How long an update of another node, or a race lost to one, makes further ones likely: the duration of a few updates
/// on a slow platform.
const CONTENTION_WINDOW: Duration = Duration::from_secs(1);

/// Successive updates of others that count as contention; a single one is already complete.
const MIN_UPDATES: Version = 2;

/// Counts updates of other nodes.
///
/// An update without contention is best sent by its node at once. Of many at the same time most would lose their race,
/// so that they are better written in one batch.
#[derive(Debug, Default)]
pub(crate) struct Contention {
    /// When the last one became known, and how many did so less than [`CONTENTION_WINDOW`] apart.
    recent: Option<(Moment, Version)>,
}

impl Contention {
    /// Counts `updates` of others.
    pub(crate) fn count_updates(&mut self, now: Moment, updates: Version) {
        let earlier = self
            .recent
            .filter(|(at, _)| now < *at + CONTENTION_WINDOW)
            .map_or(0, |(_, count)| count);
        self.recent = Some((now, earlier + updates));
    }

    /// Counts a lost race.
    pub(crate) fn count_lost_race(&mut self, now: Moment) {
        self.count_updates(now, MIN_UPDATES);
    }

    /// Whether others are likely to write as well.
    pub(crate) fn is_high(&self, now: Moment) -> bool {
        self.recent
            .is_some_and(|(at, updates)| now < at + CONTENTION_WINDOW && updates >= MIN_UPDATES)
    }
}
