//! Outcome of an attempt.

use std::time::Instant;

use hyper::Response;
use rattanarch_admission::AttemptOutcome;
use rattanarch_types::Verdict;

use crate::request::OutgoingBody;
use crate::request::RequestError;
use crate::request::response;

/// Outcome of an attempt: the response, or why there is none.
pub(crate) type Outcome = Result<Response<OutgoingBody>, RequestError>;

/// Whether the attempt may have run. A response without a verdict counts as
/// [`Verdict::MayHaveRun`].
pub(crate) fn verdict(outcome: &Outcome) -> Verdict {
    match outcome {
        Ok(head) => response::verdict(head).unwrap_or(Verdict::MayHaveRun),
        Err(error) => error.verdict(),
    }
}

/// Outcome of an attempt started at `start`, for the selection of members.
pub(crate) fn attempt_outcome(outcome: &Outcome, start: Instant) -> AttemptOutcome {
    match (verdict(outcome), outcome) {
        (Verdict::Done, _) => AttemptOutcome::Responded(start.elapsed()),
        (Verdict::NotRun, Err(RequestError::UpstreamRefused { status, .. })) if *status != 503 => {
            // A refusal for a replaced fence or a passed deadline is no sign of overload.
            AttemptOutcome::Responded(start.elapsed())
        }
        (Verdict::NotRun, Err(RequestError::Unreachable { .. } | RequestError::DeadlinePassed)) => {
            AttemptOutcome::Failed
        }
        (Verdict::NotRun, _) => AttemptOutcome::Refused,
        (Verdict::MayHaveRun, _) => AttemptOutcome::Failed,
    }
}
