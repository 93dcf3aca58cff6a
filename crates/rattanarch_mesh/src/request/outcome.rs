//! How a request ended at an upstream.

use std::time::Duration;

use derive_more::Display;
use hyper::Response;
use hyper::StatusCode;

use crate::connection::ResponseBody;
use crate::request::Reason;

/// How a request ended at an upstream.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The upstream answered.
    Answered(Response<ResponseBody>),
    /// It has not run and will not.
    Refused(Refusal),
    /// It may have run.
    Failed(Failure),
}

impl Outcome {
    /// What a caller is told after several tries: this outcome of the last one, unless an earlier one
    /// says more. An answer of an upstream says more than a failure, and a failure, after which the
    /// request may have run, more than a refusal.
    pub(crate) fn or_earlier(self, earlier: Option<Self>) -> Self {
        match earlier {
            Some(earlier) if earlier.weight() > self.weight() => earlier,
            _ => self,
        }
    }

    /// Whether an upstream has answered, other than with a failure of its own.
    pub(crate) fn is_answer(&self) -> bool {
        matches!(self, Self::Answered(response) if !response.status().is_server_error())
    }

    fn weight(&self) -> u8 {
        match self {
            Self::Refused(_) => 0,
            Self::Failed(_) => 1,
            Self::Answered(_) if !self.is_answer() => 2,
            Self::Answered(_) => 3,
        }
    }
}

/// A refusal: the request has not run and will not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Refusal {
    pub(crate) reason: Reason,
    /// After what time it is worth coming back.
    pub(crate) retry_after: Duration,
    /// Whether it reached the upstream, which refused it itself.
    pub(crate) by_upstream: bool,
}

impl From<Reason> for Refusal {
    /// A refusal of which nothing more is known than its reason.
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

/// Why no answer of a request that may have run can be given.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub(crate) enum Failure {
    /// The deadline passed.
    #[display("timed-out")]
    TimedOut,
    /// The owner of its key was lost while it had the request.
    #[display("silent")]
    Silent,
    /// The connection failed, or the answer ended early.
    #[display("cut: {_0}")]
    Cut(String),
    /// The daemon had to end.
    #[display("ended")]
    Ended,
    /// The answer belongs to another request.
    #[display("crossed")]
    Crossed,
    /// The answer is not the upstream's own.
    #[display("spoilt")]
    Spoilt,
}

impl Failure {
    /// Status that a caller gets.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::Silent | Self::Cut(_) | Self::Ended | Self::Crossed | Self::Spoilt => {
                StatusCode::BAD_GATEWAY
            }
        }
    }
}
