//! Outcome of a request or of one of its attempts.

use std::time::Duration;

use derive_more::Display;
use hyper::Response;
use hyper::StatusCode;

use crate::connection::ResponseBody;
use crate::request::Reason;

/// Outcome of a request or of one of its attempts.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// There is a response.
    Answered(Response<ResponseBody>),
    /// The request has not run and will not.
    Refused(Refusal),
    /// The request may have run, and there is no response.
    Failed(Failure),
}

impl Outcome {
    /// Outcome for the caller after several attempts: that of the last one, unless an `earlier` one has
    /// precedence. A response of an upstream precedes a failure, and a failure, after which the request
    /// may have run, precedes a refusal.
    pub(crate) fn or_earlier(self, earlier: Option<Self>) -> Self {
        match earlier {
            Some(earlier) if earlier.precedence() > self.precedence() => earlier,
            _ => self,
        }
    }

    /// Whether this is a response that is not a server error, after which nothing is retried.
    pub(crate) fn is_final_response(&self) -> bool {
        matches!(self, Self::Answered(response) if !response.status().is_server_error())
    }

    fn precedence(&self) -> u8 {
        match self {
            Self::Refused(_) => 0,
            Self::Failed(_) => 1,
            Self::Answered(_) if !self.is_final_response() => 2,
            Self::Answered(_) => 3,
        }
    }
}

/// A refusal: the request has not run and will not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Refusal {
    pub(crate) reason: Reason,
    /// Delay after which the caller should retry.
    pub(crate) retry_after: Duration,
    /// Whether the request reached the upstream, which refused it itself.
    pub(crate) by_upstream: bool,
}

impl From<Reason> for Refusal {
    /// A refusal with the default delay of its reason.
    fn from(reason: Reason) -> Self {
        Self::new(reason, reason.retry_after())
    }
}

impl Refusal {
    pub(crate) fn new(reason: Reason, retry_after: Duration) -> Self {
        Self { reason, retry_after, by_upstream: false }
    }

    pub(crate) fn by_upstream(self) -> Self {
        Self { by_upstream: true, ..self }
    }
}

/// Why there is no response to a request that may have run.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub(crate) enum Failure {
    /// The deadline passed.
    #[display("timed-out")]
    TimedOut,
    /// The owner of the key was lost while it had the request.
    #[display("silent")]
    Silent,
    /// The connection failed, or the response ended early.
    #[display("cut: {_0}")]
    Cut(String),
    /// The daemon had to stop.
    #[display("ended")]
    Ended,
    /// The response belongs to another request.
    #[display("crossed")]
    Crossed,
    /// The response is not the upstream's own.
    #[display("spoilt")]
    Spoilt,
}

impl Failure {
    /// HTTP status for the caller.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::Silent | Self::Cut(_) | Self::Ended | Self::Crossed | Self::Spoilt => {
                StatusCode::BAD_GATEWAY
            }
        }
    }
}
