//! Phases of a planned stop.

use std::time::Duration;

use derive_more::Display;
use rattanarch_types::Moment;

/// How long a stopping process still sends new requests to its upstream: callers check once a second whether the
/// daemon is ready, and go elsewhere after two checks that fail.
pub(crate) const ADMIT_AFTER_STOP: Duration = Duration::from_millis(2_400);

/// How much longer it admits requests of callers: its upstream makes nested calls for requests that still run.
const ADMIT_NESTED_CALLS: Duration = Duration::from_millis(1_000);

/// How long before the platform kills the process it closes, even if requests still run.
const CLOSE_RESERVE: Duration = Duration::from_millis(400);

/// Phase of the process: serving, or one of the phases of a planned stop.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum Phase {
    /// The process serves requests.
    #[display("open")]
    Open,
    /// Asked to stop at the given time: it still serves, but reports that it is not ready.
    #[display("stopping")]
    Stopping(Moment),
    /// Asked to stop at the given time: it sends no new request to its upstream. Requests in progress, and the nested
    /// calls that they need, are still served.
    #[display("draining")]
    Draining(Moment),
    /// New requests are refused.
    #[display("refusing")]
    Refusing,
    /// No new request is admitted, and the process ends when the last one has ended.
    #[display("closing")]
    Closing,
}

impl Phase {
    /// Whether the process reports itself ready.
    pub(crate) fn is_open(self) -> bool {
        self == Self::Open
    }

    /// Whether new requests may go to the upstream.
    pub(crate) fn admits_to_upstream(self) -> bool {
        matches!(self, Self::Open | Self::Stopping(_))
    }

    /// Whether requests of callers are admitted.
    pub(crate) fn admits_callers(self) -> bool {
        self.admits_to_upstream() || matches!(self, Self::Draining(_))
    }

    /// Whether a request that may last until `deadline` is admitted, if the process has to end within `grace` after it
    /// was asked to stop. While it drains, callers have long seen that it is not ready: then it admits only requests
    /// that are sure to end in time, and nested calls of the upstream, which requests in progress need.
    pub(crate) fn admits_request(self, grace: Duration, deadline: Moment, is_call: bool) -> bool {
        match self {
            Self::Draining(asked) => {
                is_call || deadline <= asked + grace.saturating_sub(CLOSE_RESERVE)
            }
            phase => phase.admits_callers(),
        }
    }
}

/// The phase at `now` of a process that was asked to stop at `asked`, with `busy` requests in progress and `grace`
/// between the signal and the kill.
pub(crate) fn phase(now: Moment, asked: Moment, grace: Duration, busy: usize) -> Phase {
    let waited = now.saturating_sub(asked);
    if waited < ADMIT_AFTER_STOP {
        Phase::Stopping(asked)
    } else if busy == 0 || waited >= grace.saturating_sub(CLOSE_RESERVE) {
        Phase::Closing
    } else if waited < ADMIT_AFTER_STOP + ADMIT_NESTED_CALLS {
        Phase::Draining(asked)
    } else {
        Phase::Refusing
    }
}
