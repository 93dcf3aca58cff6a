//! Decisions on one request.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use rattanarch_routing::ProbeResult;
use rattanarch_types::Version;

use crate::request::Failure;
use crate::request::Outcome;
use crate::request::Reason;
use crate::upstream::UpstreamSnapshot;

/// A decision on a request, with what decided it. Text is made only if the request's lines are written.
#[derive(Debug, Display)]
pub(crate) enum Decision {
    /// No route leads anywhere for this path.
    #[display("path {path:?} in version {version}")]
    NoRoute { path: String, version: u64 },
    /// It waits until its key may be served here.
    #[display("{reason}, {view}")]
    Held { reason: Reason, view: UpstreamSnapshot },
    /// It waits at the upstream's gate.
    #[display("{_0}")]
    Queued(UpstreamSnapshot),
    /// It has a slot of the upstream.
    #[display("waited {}ms, {view}", waited.as_millis())]
    Admitted { waited: Duration, view: UpstreamSnapshot },
    /// The gate refuses it.
    #[display("{reason}, come back after {}ms, {view}", retry_after.as_millis())]
    Refused { reason: Reason, retry_after: Duration, view: UpstreamSnapshot },
    /// No instance's daemon is to get it.
    #[display("{reason}, come back after {}ms, {service} by record {version}", retry_after.as_millis())]
    Unsent { reason: Reason, retry_after: Duration, service: String, version: Version },
    /// It goes to an instance's daemon.
    #[display("{service} {address} by record {version}, try {number}")]
    Sent { service: String, address: SocketAddr, version: Version, number: u32 },
    /// The daemon that has it did not take a fresh connection.
    #[display("{address}: {look}")]
    Probed { address: SocketAddr, look: ProbeResult },
    /// What a try came to.
    #[display("{address}: {told}")]
    AttemptEnded { address: SocketAddr, told: Told },
    /// It is tried once more.
    #[display("{arrivals} tries may have run")]
    Retried { arrivals: u32 },
    /// It is not tried any more.
    #[display("{why}, {arrivals} tries may have run, {}ms left", left.as_millis())]
    GivenUp { why: GiveUp, arrivals: u32, left: Duration },
}

impl Decision {
    /// Name of the decision in the log.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::NoRoute { .. } => "no-route",
            Self::Held { .. } => "held",
            Self::Queued(_) => "queued",
            Self::Admitted { .. } => "admitted",
            Self::Refused { .. } => "refused",
            Self::Unsent { .. } => "unsent",
            Self::Sent { .. } => "sent",
            Self::Probed { .. } => "looked",
            Self::AttemptEnded { .. } => "answer",
            Self::Retried { .. } => "again",
            Self::GivenUp { .. } => "given-up",
        }
    }
}

/// What is told of the end of a try.
#[derive(Debug, Display)]
pub(crate) enum Told {
    /// The status of the answer.
    #[display("status {_0}")]
    Status(u16),
    #[display("refused {_0}")]
    Refused(Reason),
    #[display("failed {_0}")]
    Failed(Failure),
}

impl From<&Outcome> for Told {
    fn from(outcome: &Outcome) -> Self {
        match outcome {
            Outcome::Answered(response) => Self::Status(response.status().as_u16()),
            Outcome::Refused(refusal) => Self::Refused(refusal.reason),
            Outcome::Failed(failure) => Self::Failed(failure.clone()),
        }
    }
}

/// Why a request is not tried once more.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum GiveUp {
    /// It may have run, and running it twice may do harm.
    #[display("not-repeatable")]
    NotRepeatable,
    /// The route's number of attempts, or of refusals, is used up.
    #[display("attempts-used")]
    Attempts,
    /// Too little of its time is left.
    #[display("no-time")]
    NoTime,
    /// The share of repeats among the service's requests is used up.
    #[display("share-used")]
    Share,
    /// Another instance would refuse it for the same reason.
    #[display("no-other-instance")]
    Elsewhere,
    /// No newer record names another owner.
    #[display("owner-unchanged")]
    Owner,
}
