//! Attempts of a request that have not ended.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use rattanarch_types::Version;

use crate::request::Outcome;
use crate::request::target::Target;

/// Set by an attempt whose peer may be gone. The attempt goes on.
pub(crate) type SuspectFlag = Rc<Cell<bool>>;

/// Attempts of one request that are under way at the same time. Dropping this cancels them.
#[derive(Default)]
pub(crate) struct PendingAttempts<'a> {
    attempts: Vec<PendingAttempt<'a>>,
}

struct PendingAttempt<'a> {
    target: Target,
    suspect: SuspectFlag,
    outcome_future: Pin<Box<dyn Future<Output = Outcome> + 'a>>,
}

impl<'a> PendingAttempts<'a> {
    /// Adds an attempt at `target`, which sets `suspect` if its peer may be gone.
    pub(crate) fn start(
        &mut self,
        target: Target,
        suspect: SuspectFlag,
        outcome_future: impl Future<Output = Outcome> + 'a,
    ) {
        self.attempts.push(PendingAttempt {
            target,
            suspect,
            outcome_future: Box::pin(outcome_future),
        });
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Number of pending attempts, each of which may run.
    pub(crate) fn count(&self) -> u32 {
        self.attempts.len() as u32
    }

    /// Whether an attempt at `address` is pending.
    pub(crate) fn has(&self, address: SocketAddr) -> bool {
        self.attempts.iter().any(|attempt| attempt.target.address == address)
    }

    /// Whether all pending attempts were sent by an older record than `version`.
    pub(crate) fn all_precede(&self, version: Version) -> bool {
        self.attempts.iter().all(|attempt| attempt.target.version < version)
    }

    /// Waits until an attempt has ended, and returns its target and outcome, or until the peer of one may
    /// be gone (`None`). Never returns if nothing is pending. Cancel safe.
    pub(crate) async fn next(&mut self) -> Option<(Target, Outcome)> {
        std::future::poll_fn(|cx| self.poll_next(cx)).await
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<(Target, Outcome)>> {
        for index in 0..self.attempts.len() {
            let attempt = &mut self.attempts[index];
            if let Poll::Ready(outcome) = attempt.outcome_future.as_mut().poll(cx) {
                let ended = self.attempts.swap_remove(index);
                return Poll::Ready(Some((ended.target, outcome)));
            }
            if attempt.suspect.take() {
                return Poll::Ready(None);
            }
        }
        Poll::Pending
    }
}
