//! The way to a planned stop.

use std::time::Duration;

use derive_more::Display;
use rattanarch_types::Moment;

/// How long a stopping process lets requests go to its upstream: callers ask once a second whether
/// it is ready, and go elsewhere after two refusals.
pub(crate) const ADMIT_AFTER_STOP: Duration = Duration::from_millis(2_400);

/// How much longer it takes requests of callers: its upstream makes calls for requests that run.
const CALL_LINGER: Duration = Duration::from_millis(1_000);

/// Time before the end by force at which a process that is still busy ends itself.
const RESERVE: Duration = Duration::from_millis(400);

/// Where the process stands.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum Phase {
    /// It serves.
    #[display("open")]
    Open,
    /// It was asked to stop at the given time: it serves on, and says that it is not ready.
    #[display("stopping")]
    Stopping(Moment),
    /// It sends no new request to its upstream, and serves what runs and the calls that this needs; it was
    /// asked to stop at the given time.
    #[display("draining")]
    Draining(Moment),
    /// It refuses new requests.
    #[display("refusing")]
    Refusing,
    /// It takes no new request, and ends when the last one has.
    #[display("closing")]
    Closing,
}

impl Phase {
    /// Whether callers are to come to this process.
    pub(crate) fn is_open(self) -> bool {
        self == Self::Open
    }

    /// Whether the upstream may get new requests.
    pub(crate) fn admits_to_upstream(self) -> bool {
        matches!(self, Self::Open | Self::Stopping(_))
    }

    /// Whether requests of callers are taken.
    pub(crate) fn admits_callers(self) -> bool {
        self.admits_to_upstream() || matches!(self, Self::Draining(_))
    }

    /// Whether a request that may last until `deadline` is taken by a process that has to end within
    /// `grace`. While it drains, callers have long been told to go elsewhere: only what is sure to end in
    /// time is taken, besides calls of the upstream, which requests under way need.
    pub(crate) fn admits_request(self, grace: Duration, deadline: Moment, is_call: bool) -> bool {
        match self {
            Self::Draining(asked) => is_call || deadline <= asked + grace.saturating_sub(RESERVE),
            phase => phase.admits_callers(),
        }
    }
}

/// Where a process that was asked to stop at `asked` stands at `now`, with `busy` requests under way.
pub(crate) fn phase(now: Moment, asked: Moment, grace: Duration, busy: usize) -> Phase {
    let waited = now.saturating_sub(asked);
    if waited < ADMIT_AFTER_STOP {
        Phase::Stopping(asked)
    } else if busy == 0 || waited >= grace.saturating_sub(RESERVE) {
        Phase::Closing
    } else if waited < ADMIT_AFTER_STOP + CALL_LINGER {
        Phase::Draining(asked)
    } else {
        Phase::Refusing
    }
}
