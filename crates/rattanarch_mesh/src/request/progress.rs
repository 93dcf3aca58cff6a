//! State of the attempts of one request.

use std::net::SocketAddr;

use crate::request::Call;
use crate::request::Outcome;
use crate::request::Reason;
use crate::request::Refusal;
use crate::request::pending_attempts::PendingAttempts;
use crate::request::target::Target;

/// When the next attempt starts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NextAttempt {
    /// None starts; pending attempts go on.
    Wait,
    /// At once, if there is a target.
    Now,
    /// Beside a pending attempt whose peer may be gone, as soon as another target is known.
    Parallel,
    /// Like `Parallel`, but only after a pause: the service's retry share is used up, and new requests
    /// add to it.
    ParallelAfterShare,
}

/// State of the attempts of one request.
pub(crate) struct Progress<'a> {
    /// Attempts that have not ended. There is at least one unless `next` is `Now`.
    pub(crate) pending: PendingAttempts<'a>,
    pub(crate) next: NextAttempt,
    /// Outcome of earlier attempts: if one of them may have run, the caller must not be told that the
    /// request was refused.
    pub(crate) earlier: Option<Outcome>,
    /// Addresses already tried. Stays empty for a request with a key, which only the owner can serve.
    pub(crate) tried: Vec<SocketAddr>,
    /// Number of ended attempts that reached an upstream, or may have.
    pub(crate) reached: u32,
    /// Number of attempts that were refused.
    pub(crate) refusals: u32,
    /// Number of attempts started so far.
    pub(crate) attempts: u32,
    /// Whether the first attempt counts as a retry too: an upstream may have run the request before, or
    /// it is a nested call of such a run.
    pub(crate) is_retry: bool,
    /// Whether only the owner of the request's key can serve it.
    keyed: bool,
}

impl Progress<'_> {
    pub(crate) fn new(call: &Call) -> Self {
        Self {
            pending: PendingAttempts::default(),
            next: NextAttempt::Now,
            earlier: None,
            tried: Vec::new(),
            reached: 0,
            refusals: 0,
            attempts: 0,
            is_retry: call.retry.get(),
            keyed: call.key.is_some(),
        }
    }

    /// Number of attempts that may have run or may still run.
    pub(crate) fn possible_runs(&self) -> u32 {
        self.reached + self.pending.count()
    }

    /// Excludes `target` from further attempts, unless the request has a key.
    pub(crate) fn exclude(&mut self, target: Target) {
        if !self.keyed {
            self.tried.push(target.address);
        }
    }

    /// Outcome for the caller if `outcome` is that of the last attempt.
    pub(crate) fn final_outcome(&mut self, outcome: Outcome) -> Outcome {
        outcome.or_earlier(self.earlier.take())
    }

    /// Outcome for the caller if there is no further target, for the reason in `refusal`.
    pub(crate) fn outcome_without_target(&mut self, refusal: Refusal) -> Outcome {
        match self.earlier.take() {
            // All instances were tried: their outcome says more than that none is left.
            Some(earlier) if refusal.reason == Reason::NoInstance => earlier,
            earlier => Outcome::Refused(refusal).or_earlier(earlier),
        }
    }
}
