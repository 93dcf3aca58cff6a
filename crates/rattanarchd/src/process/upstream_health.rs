//! Detection of the loss of the upstream beside this daemon.

use std::time::Duration;

use rattanarch_types::Moment;

/// Time without an answer after which the upstream counts as lost: half of the 2 s within which its keys have to be
/// served again.
const LOSS_TIMEOUT: Duration = Duration::from_secs(1);

/// Tracks whether the upstream answers grants.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UpstreamHealth {
    last_answer: Moment,
    lost: bool,
}

impl UpstreamHealth {
    /// State of an upstream that answered at `now`.
    pub(crate) fn new(now: Moment) -> Self {
        Self { last_answer: now, lost: false }
    }

    /// Notes that the upstream answered at `now`.
    pub(crate) fn record_answer(&mut self, now: Moment) {
        self.last_answer = now;
    }

    /// Whether the upstream counted as lost at the last update.
    pub(crate) fn is_lost(&self) -> bool {
        self.lost
    }

    /// Updates [`Self::is_lost`] at `now`; returns whether it has changed.
    pub(crate) fn update(&mut self, now: Moment) -> bool {
        let lost = now.saturating_sub(self.last_answer) > LOSS_TIMEOUT;
        std::mem::replace(&mut self.lost, lost) != lost
    }
}
