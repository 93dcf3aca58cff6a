//! How old the daemon's knowledge is.

use std::time::Duration;

use rattanarch_types::Moment;
use rattanarch_types::Version;
use rattanarch_wire::Knowledge;

/// When each part of the shared state was last known to be current.
///
/// Every time is a moment at which the platform still held this version, by this daemon's clock.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Freshness {
    record: Option<Moment>,
    configuration: Option<Moment>,
}

impl Freshness {
    /// The record was current at `at`.
    pub(crate) fn confirm_record(&mut self, at: Moment) {
        self.record = self.record.max(Some(at));
    }

    /// The configuration was current at `at`.
    pub(crate) fn confirm_configuration(&mut self, at: Moment) {
        self.configuration = self.configuration.max(Some(at));
    }

    /// Takes what a peer knew when it sent `theirs`, if it is about the same versions as `mine`.
    pub(crate) fn hear(&mut self, now: Moment, mine: (Version, Version), theirs: Knowledge) {
        if mine != (theirs.record, theirs.configuration) || theirs.age_ms == u32::MAX {
            return;
        }
        let age = Duration::from_millis(u64::from(theirs.age_ms));
        let at = now.saturating_sub(age);
        self.confirm_record(at);
        self.confirm_configuration(at);
    }

    /// When both parts were last current; `None` before the first confirmation of each.
    pub(crate) fn since(&self) -> Option<Moment> {
        Some(self.record?.min(self.configuration?))
    }

    /// Age in milliseconds; the largest number before the first confirmation.
    pub(crate) fn age_ms(&self, now: Moment) -> u32 {
        let age = self.since().map(|at| now.saturating_sub(at).as_millis());
        age.map_or(u32::MAX, |age| u32::try_from(age).unwrap_or(u32::MAX))
    }
}
