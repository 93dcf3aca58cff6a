//! Decisions on one request.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use rattanarch_routing::ProbeResult;
use rattanarch_types::Version;

use crate::request::Failure;
use crate::request::KeyError;
use crate::request::Outcome;
use crate::request::Reason;
use crate::upstream::UpstreamSnapshot;

/// A decision on a request, with its cause. It is formatted only if the request's lines are written.
#[derive(Debug, Display)]
pub(crate) enum Decision {
    /// No route matches the path.
    #[display("path {path:?} in version {version}")]
    NoRoute { path: String, version: u64 },
    /// The request belongs to no client account.
    #[display("{_0}")]
    Unauthorized(KeyError),
    /// The client account of the request is over its quota.
    #[display("account {account}, retry after {}ms", retry_after.as_millis())]
    OverQuota { account: String, retry_after: Duration },
    /// The request waits until its key may be served here.
    #[display("{reason}, {view}")]
    Held { reason: Reason, view: UpstreamSnapshot },
    /// The request waits for a slot of the upstream.
    #[display("{_0}")]
    Queued(UpstreamSnapshot),
    /// The request has a slot of the upstream.
    #[display("waited {}ms, {view}", waited.as_millis())]
    Admitted { waited: Duration, view: UpstreamSnapshot },
    /// Admission to the upstream refuses the request.
    #[display("{reason}, retry after {}ms, {view}", retry_after.as_millis())]
    Refused { reason: Reason, retry_after: Duration, view: UpstreamSnapshot },
    /// There is no target for an attempt.
    #[display("{reason}, retry after {}ms, {service} by record {version}", retry_after.as_millis())]
    Unsent { reason: Reason, retry_after: Duration, service: String, version: Version },
    /// An attempt is sent to an instance's daemon.
    #[display("{service} {address} by record {version}, try {number}")]
    Sent { service: String, address: SocketAddr, version: Version, number: u32 },
    /// A pending attempt's daemon did not accept a new connection.
    #[display("{address}: {result}")]
    Probed { address: SocketAddr, result: ProbeResult },
    /// An attempt has ended.
    #[display("{address}: {result}")]
    AttemptEnded { address: SocketAddr, result: AttemptResult },
    /// Another attempt follows.
    #[display("{may_have_run} tries may have run")]
    Retried { may_have_run: u32 },
    /// No further attempt follows.
    #[display("{why}, {may_have_run} tries may have run, {}ms left", left.as_millis())]
    GivenUp { why: GiveUp, may_have_run: u32, left: Duration },
}

impl Decision {
    /// Name of the decision in the log.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::NoRoute { .. } => "no-route",
            Self::Unauthorized(_) => "unauthorized",
            Self::OverQuota { .. } => "over-quota",
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

/// Result of an attempt for the log.
#[derive(Debug, Display)]
pub(crate) enum AttemptResult {
    /// HTTP status of the response.
    #[display("status {_0}")]
    Status(u16),
    #[display("refused {_0}")]
    Refused(Reason),
    #[display("failed {_0}")]
    Failed(Failure),
}

impl From<&Outcome> for AttemptResult {
    fn from(outcome: &Outcome) -> Self {
        match outcome {
            Outcome::Answered(response) => Self::Status(response.status().as_u16()),
            Outcome::Refused(refusal) => Self::Refused(refusal.reason),
            Outcome::Failed(failure) => Self::Failed(failure.clone()),
        }
    }
}

/// Why a request is not retried.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum GiveUp {
    /// The request may have run, and is not idempotent.
    #[display("not-repeatable")]
    NotRepeatable,
    /// The limit of attempts or of refusals is reached.
    #[display("attempts-used")]
    Attempts,
    /// Too little time is left before the deadline.
    #[display("no-time")]
    NoTime,
    /// The service's retry share is used up.
    #[display("share-used")]
    Share,
    /// Another instance would refuse the request for the same reason.
    #[display("no-other-instance")]
    Elsewhere,
    /// No newer record names another owner.
    #[display("owner-unchanged")]
    Owner,
}
