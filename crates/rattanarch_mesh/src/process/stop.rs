//! The way to a planned stop.

use std::time::Duration;

use rattanarch_types::Moment;

/// How long a stopping process goes on taking requests: callers ask once a second whether it is
/// ready, and go elsewhere after two refusals.
pub(crate) const LINGER: Duration = Duration::from_millis(2_400);

/// Time before the end by force at which a process that is still busy ends itself.
const RESERVE: Duration = Duration::from_millis(400);

/// Where the process stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// It serves.
    Open,
    /// It was asked to stop at the given time: it serves on, and says that it is not ready.
    Stopping(Moment),
    /// It takes no new request, and ends when the last one has.
    Closing,
}

impl Phase {
    /// Whether callers are to come to this process.
    pub(crate) fn is_open(self) -> bool {
        self == Self::Open
    }
}

/// Whether a process that was asked to stop at `asked` is to end at `now`, with `busy` requests
/// under way.
pub(crate) fn is_due(now: Moment, asked: Moment, grace: Duration, busy: usize) -> bool {
    let waited = now.saturating_sub(asked);
    waited >= grace.saturating_sub(RESERVE) || (waited >= LINGER && busy == 0)
}
