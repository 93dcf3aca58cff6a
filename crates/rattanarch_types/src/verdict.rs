//! What is known about whether a request ran.

use std::str::FromStr;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Whether a request may have run at its upstream.
///
/// Passed from the upstream connection to the response that the caller gets. A refusal with
/// [`Verdict::NotRun`] guarantees that no byte of the request reached the upstream, or that the upstream
/// itself refused it.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The request did not run and will not; it may be sent again.
    #[display("not-run")]
    NotRun,
    /// The request may have run, may be running, or may still run.
    #[display("may-have-run")]
    MayHaveRun,
    /// The upstream responded to the request.
    #[display("done")]
    Done,
}

impl Verdict {
    /// Name of the response header that carries the verdict.
    pub const HEADER: &'static str = "rattanarch-verdict";

    /// Whether a request with this verdict may be sent again.
    pub fn may_retry(self, idempotent: bool) -> bool {
        match self {
            Self::NotRun => true,
            Self::MayHaveRun => idempotent,
            Self::Done => false,
        }
    }
}

/// A text that is not a verdict.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("verdict {0:?} is not one of \"not-run\", \"may-have-run\", \"done\"")]
pub struct VerdictError(pub String);

impl FromStr for Verdict {
    type Err = VerdictError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "not-run" => Ok(Self::NotRun),
            "may-have-run" => Ok(Self::MayHaveRun),
            "done" => Ok(Self::Done),
            other => Err(VerdictError(other.to_owned())),
        }
    }
}
