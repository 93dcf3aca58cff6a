//! Turns of large answers on the link of this machine.

use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Frame;
use rattanarch_admission::Uplink;
use rattanarch_process::Clock;
use rattanarch_types::Moment;
use tokio::sync::Semaphore;

/// Smallest answer that waits for a turn, in bytes: a few packets more do not delay others.
const LARGE: usize = 32 << 10;

/// Part of an answer that is handed to the connection at once, in bytes, so that one whose reader is slow
/// is not held twice.
const CHUNK: usize = 16 << 10;

/// Longest wait for a turn. Those before may be for readers that are gone without a word, and an answer
/// that is ready is delivered.
const PATIENCE: Duration = Duration::from_millis(400);

/// Turns of large answers on the link of this machine.
#[derive(Clone, Debug)]
pub(crate) struct LinkTurns {
    pub(crate) uplink: Rc<RefCell<Uplink>>,
    clock: Clock,
    /// Bytes that may be in flight at once.
    window: usize,
    turns: Arc<Semaphore>,
}

/// A large answer, whole in memory, that is sent when its turn comes.
pub(crate) struct TurnBody {
    rest: Bytes,
    /// The wait for its turn; `None` once it has come.
    wait: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl LinkTurns {
    /// Turns on a link of `megabits` a second; 0 if its rate is not known.
    pub(crate) fn new(megabits: f64, clock: Clock) -> Self {
        let uplink = Uplink::new(megabits);
        let window = uplink.window().unwrap_or(Semaphore::MAX_PERMITS);
        let turns = Arc::new(Semaphore::new(window));
        Self { uplink: Rc::new(RefCell::new(uplink)), clock, window, turns }
    }

    /// The body `bytes` in its turn; `None` if it is small enough to go at once.
    pub(crate) fn queue(&self, bytes: &Bytes) -> Option<TurnBody> {
        if bytes.len() < LARGE {
            return None;
        }
        let room = bytes.len().min(self.window) as u32;
        let turn = Arc::clone(&self.turns).acquire_many_owned(room);
        let (share, clock) = (Share::new(&self.uplink, bytes.len()), self.clock);
        let wait = async move {
            let turn = tokio::time::timeout(PATIENCE, turn).await;
            let hold = share.leave(clock.now());
            tokio::task::spawn_local(async move {
                tokio::time::sleep(hold).await;
                drop(turn);
            });
        };
        Some(TurnBody { rest: bytes.clone(), wait: Some(Box::pin(wait)) })
    }
}

/// What an answer takes of the link; forgotten if it is dropped before its turn.
struct Share {
    uplink: Rc<RefCell<Uplink>>,
    /// Bytes that wait for their turn.
    bytes: usize,
}

impl Share {
    fn new(uplink: &Rc<RefCell<Uplink>>, bytes: usize) -> Self {
        uplink.borrow_mut().begin(bytes);
        Self { uplink: Rc::clone(uplink), bytes }
    }

    /// Notes that the turn of the answer has come; how long it lasts.
    fn leave(mut self, now: Moment) -> Duration {
        let bytes = std::mem::take(&mut self.bytes);
        let mut uplink = self.uplink.borrow_mut();
        uplink.leave(now, bytes);
        uplink.hold(bytes)
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.uplink.borrow_mut().forget(self.bytes);
    }
}

impl TurnBody {
    /// Bytes that are still to be sent.
    pub(crate) fn len(&self) -> usize {
        self.rest.len()
    }

    /// The next part, once its turn has come.
    pub(crate) fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<Option<Frame<Bytes>>> {
        if let Some(wait) = &mut self.wait {
            std::task::ready!(wait.as_mut().poll(cx));
            self.wait = None;
        }
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let part = self.rest.split_to(CHUNK.min(self.rest.len()));
        Poll::Ready(Some(Frame::data(part)))
    }
}

impl std::fmt::Debug for TurnBody {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("TurnBody").field("left", &self.rest.len()).finish_non_exhaustive()
    }
}
