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
    /// In parallel to one whose peer may be gone, as soon as there is a target for it.
    Parallel,
    /// Like `Parallel`, once the retry share may have grown.
    ParallelAfterShare,
}

/// State of the attempts of one request.
pub(crate) struct Progress<'a> {
    /// Attempts that have not ended. Empty only while `next` is `Now`.
    pub(crate) pending: PendingAttempts<'a>,
    pub(crate) next: NextAttempt,
    /// Outcome of earlier attempts: if one of them may have run, the caller must not be told that the
    /// request was refused.
    pub(crate) earlier: Option<Outcome>,
    /// Addresses already tried, if any instance may serve the request.
    pub(crate) tried: Vec<SocketAddr>,
    /// Ended attempts that reached an upstream, or may have.
    pub(crate) reached: u32,
    /// Attempts that were refused.
    pub(crate) refusals: u32,
    /// Attempts started so far.
    pub(crate) attempts: u32,
    /// Whether even the first attempt counts as a retry.
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

    /// Attempts that may have run or may still run.
    pub(crate) fn possible_runs(&self) -> u32 {
        self.reached + self.pending.count()
    }

    /// Excludes `target` from further attempts, unless only it can serve the key.
    pub(crate) fn exclude(&mut self, target: Target) {
        if !self.keyed {
            self.tried.push(target.address);
        }
    }

    /// Outcome for the caller if `outcome` is that of the last attempt.
    pub(crate) fn final_outcome(&mut self, outcome: Outcome) -> Outcome {
        outcome.or_earlier(self.earlier.take())
    }

    /// Outcome for the caller if no target is found because of `refusal`.
    pub(crate) fn unsent_outcome(&mut self, refusal: Refusal) -> Outcome {
        match self.earlier.take() {
            // All instances were tried: their outcome says more than that none is left.
            Some(earlier) if refusal.reason == Reason::NoInstance => earlier,
            earlier => Outcome::Refused(refusal).or_earlier(earlier),
        }
    }
}
