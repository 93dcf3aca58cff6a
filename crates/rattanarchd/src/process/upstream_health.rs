//! Whether the upstream beside this daemon answers.

use std::time::Duration;

use rattanarch_types::Moment;

/// Silence after which the upstream counts as lost: half of the 2 s in which its keys are to be
/// served again.
const SILENCE: Duration = Duration::from_secs(1);

/// Follows whether the upstream answers grants.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UpstreamHealth {
    heard: Moment,
    silent: bool,
}

impl UpstreamHealth {
    /// An upstream that answered at `now`.
    pub(crate) fn new(now: Moment) -> Self {
        Self { heard: now, silent: false }
    }

    /// It answered at `now`.
    pub(crate) fn hear(&mut self, now: Moment) {
        self.heard = now;
    }

    /// Whether it counts as lost.
    pub(crate) fn is_silent(&self) -> bool {
        self.silent
    }

    /// Judges anew at `now`; whether the judgement changed.
    pub(crate) fn changed(&mut self, now: Moment) -> bool {
        let silent = now.saturating_sub(self.heard) > SILENCE;
        std::mem::replace(&mut self.silent, silent) != silent
    }
}
