//! Waiting for holds of record versions that the store has lost.

use std::time::Duration;

use rattanarch_types::Moment;
use rattanarch_types::Record;
use rattanarch_types::Version;

use crate::Timing;

/// The wait after a record was written back to a store that had been restored from an older copy.
///
/// Members of lost versions may hold slices that the record gives to others. They hear of the record at the latest when
/// their witnesses do, within a lease, and the grants that they gave until then end within another one. Until then, a
/// slice may be granted only to an upstream that holds it, because then no other one does.
#[derive(Clone, Copy, Debug, Default)]
pub struct RestoreWait {
    /// [`Record::restored`] of the record that is waited for; 0 if there is none.
    restored: Version,
    /// When every hold that the record does not show has ended.
    until: Moment,
}

impl RestoreWait {
    /// Applies `record`, which this process has learned at `now`.
    pub fn observe(&mut self, now: Moment, record: &Record, timing: &Timing) {
        if record.restored != self.restored {
            self.restored = record.restored;
            self.until = now + wait(timing);
        }
    }

    /// Whether slices may be granted only to an upstream that holds them.
    pub fn is_waiting(&self, now: Moment) -> bool {
        self.restored != 0 && now < self.until
    }

    /// Marks in `record`, on which an update is to be based, that nothing has to be waited for any more, if this process
    /// has waited long enough.
    pub fn settle(&self, now: Moment, record: &mut Record) {
        if record.restored == self.restored && !self.is_waiting(now) {
            record.restored = 0;
        }
    }
}

fn wait(timing: &Timing) -> Duration {
    timing.with_drift(timing.lease * 2)
}
