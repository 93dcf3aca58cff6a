//! Age of the record and the configuration that the daemon has.

use std::time::Duration;

use rattanarch_types::Moment;
use rattanarch_types::Version;
use rattanarch_wire::Knowledge;

/// When the record and the configuration were last confirmed to be current.
///
/// Each time is one at which the platform still stored this version, on this daemon's clock.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Freshness {
    record: Option<Moment>,
    configuration: Option<Moment>,
}

impl Freshness {
    /// Notes that the record was current at `at`.
    pub(crate) fn confirm_record(&mut self, at: Moment) {
        self.record = self.record.max(Some(at));
    }

    /// Notes that the configuration was current at `at`.
    pub(crate) fn confirm_configuration(&mut self, at: Moment) {
        self.configuration = self.configuration.max(Some(at));
    }

    /// Adopts the age that a peer reports in `theirs`, if its versions (record, configuration) equal `mine`.
    pub(crate) fn observe_peer(
        &mut self,
        now: Moment,
        mine: (Version, Version),
        theirs: Knowledge,
    ) {
        if mine != (theirs.record, theirs.configuration) || theirs.age_ms == u32::MAX {
            return;
        }
        let age = Duration::from_millis(u64::from(theirs.age_ms));
        let at = now.saturating_sub(age);
        self.confirm_record(at);
        self.confirm_configuration(at);
    }

    /// When both were last confirmed to be current; `None` before the first confirmation of each.
    pub(crate) fn confirmed_at(&self) -> Option<Moment> {
        Some(self.record?.min(self.configuration?))
    }

    /// Age at `now` in milliseconds; `u32::MAX` before the first confirmation.
    pub(crate) fn age_ms(&self, now: Moment) -> u32 {
        let age = self.confirmed_at().map(|at| now.saturating_sub(at).as_millis());
        age.map_or(u32::MAX, |age| u32::try_from(age).unwrap_or(u32::MAX))
    }
}
