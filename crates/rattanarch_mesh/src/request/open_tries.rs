//! Tries of a request that are under way.

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

/// Set by a try whose peer may be gone. The try goes on.
pub(crate) type Doubt = Rc<Cell<bool>>;

/// Tries of one request that are under way at the same time. Dropping them ends them.
#[derive(Default)]
pub(crate) struct OpenTries<'a> {
    tries: Vec<OpenTry<'a>>,
}

struct OpenTry<'a> {
    target: Target,
    doubt: Doubt,
    sending: Pin<Box<dyn Future<Output = Outcome> + 'a>>,
}

impl<'a> OpenTries<'a> {
    /// Adds a try at `target`, which sets `doubt` if its peer may be gone.
    pub(crate) fn begin(
        &mut self,
        target: Target,
        doubt: Doubt,
        sending: impl Future<Output = Outcome> + 'a,
    ) {
        self.tries.push(OpenTry { target, doubt, sending: Box::pin(sending) });
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.tries.is_empty()
    }

    /// Number of tries, each of which may run.
    pub(crate) fn count(&self) -> u32 {
        self.tries.len() as u32
    }

    /// Whether a try at `address` is under way.
    pub(crate) fn has(&self, address: SocketAddr) -> bool {
        self.tries.iter().any(|open| open.target.address == address)
    }

    /// Whether all tries went by an older record than `version`.
    pub(crate) fn precede(&self, version: Version) -> bool {
        self.tries.iter().all(|open| open.target.version < version)
    }

    /// Waits until a try has ended, and returns what it came to, or until the peer of one may be gone (`None`); for ever
    /// if nothing is under way. Loses nothing if it is dropped.
    pub(crate) async fn next(&mut self) -> Option<(Target, Outcome)> {
        std::future::poll_fn(|cx| self.poll_next(cx)).await
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<(Target, Outcome)>> {
        for index in 0..self.tries.len() {
            let open = &mut self.tries[index];
            if let Poll::Ready(outcome) = open.sending.as_mut().poll(cx) {
                let ended = self.tries.swap_remove(index);
                return Poll::Ready(Some((ended.target, outcome)));
            }
            if open.doubt.take() {
                return Poll::Ready(None);
            }
        }
        Poll::Pending
    }
}
