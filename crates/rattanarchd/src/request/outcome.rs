//! What an attempt came to.

use std::time::Instant;

use hyper::Response;
use rattanarch_admission::AttemptOutcome;
use rattanarch_types::Verdict;

use crate::request::OutgoingBody;
use crate::request::RequestError;
use crate::request::response;

/// What an attempt came to: the head of an answer, or why there is none.
pub(crate) type Outcome = Result<Response<OutgoingBody>, RequestError>;

/// Whether the attempt may have run; one whose answer does not say so may.
pub(crate) fn verdict(outcome: &Outcome) -> Verdict {
    match outcome {
        Ok(head) => response::verdict(head).unwrap_or(Verdict::MayHaveRun),
        Err(error) => error.verdict(),
    }
}

/// What an attempt that began at `start` tells of the load where it went.
pub(crate) fn ending(outcome: &Outcome, start: Instant) -> AttemptOutcome {
    match (verdict(outcome), outcome) {
        (Verdict::Done, _) => AttemptOutcome::Responded(start.elapsed()),
        (Verdict::NotRun, Err(RequestError::UpstreamRefused { status, .. })) if *status != 503 => {
            // A replaced fence or a passed deadline tells nothing of load.
            AttemptOutcome::Responded(start.elapsed())
        }
        (Verdict::NotRun, Err(RequestError::Unreachable { .. } | RequestError::Late)) => {
            AttemptOutcome::Failed
        }
        (Verdict::NotRun, _) => AttemptOutcome::Refused,
        (Verdict::MayHaveRun, _) => AttemptOutcome::Failed,
    }
}
