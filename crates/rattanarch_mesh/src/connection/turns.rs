//! Turns of large answers on the link of this machine.

use std::cell::Cell;
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
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::Instant;

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
    /// Bytes that may be in flight at once.
    window: usize,
    turns: Arc<Semaphore>,
    /// Until when what daemons tell each other fills the link.
    control: Rc<Cell<Instant>>,
}

/// A large answer, whole in memory, that is sent when its turn comes.
pub(crate) struct TurnBody {
    rest: Bytes,
    /// The wait for its turn; `None` once it has come.
    wait: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl LinkTurns {
    /// Turns on a link of `megabits` a second; 0 if its rate is not known.
    pub(crate) fn new(megabits: f64) -> Self {
        let uplink = Uplink::new(megabits);
        let window = uplink.window().unwrap_or(Semaphore::MAX_PERMITS);
        let turns = Arc::new(Semaphore::new(window));
        let control = Rc::new(Cell::new(Instant::now()));
        Self { uplink: Rc::new(RefCell::new(uplink)), window, turns, control }
    }

    /// Lets `bytes` for another daemon go first: no large answer begins before the link has carried them. Without
    /// that, downloads that ask for twice the link leave a configuration a quarter of it.
    pub(crate) fn precede(&self, bytes: usize) {
        if bytes >= LARGE {
            let begin = self.control.get().max(Instant::now());
            let hold = self.uplink.borrow().hold(bytes);
            self.control.set(begin + hold);
            self.uplink.borrow_mut().begin_control(bytes);
            let share = Share { uplink: Rc::clone(&self.uplink), bytes };
            tokio::task::spawn_local(async move {
                tokio::time::sleep_until(begin + hold).await;
                drop(share);
            });
        }
    }

    /// The body `bytes` in its turn; `None` if it is small enough to go at once.
    pub(crate) fn queue(&self, bytes: &Bytes) -> Option<TurnBody> {
        if bytes.len() < LARGE {
            return None;
        }
        let room = bytes.len().min(self.window) as u32;
        let turn = Arc::clone(&self.turns).acquire_many_owned(room);
        let control = Rc::clone(&self.control);
        let turn = async move {
            let turn = turn.await;
            while Instant::now() < control.get() {
                tokio::time::sleep_until(control.get()).await;
            }
            turn
        };
        let share = Share::new(&self.uplink, bytes.len());
        let wait = async move {
            let turn = tokio::time::timeout(PATIENCE, turn).await;
            tokio::task::spawn_local(share.leave(turn.ok().and_then(Result::ok)));
        };
        Some(TurnBody { rest: bytes.clone(), wait: Some(Box::pin(wait)) })
    }
}

/// An answer's share of the link, until it has left or never will.
struct Share {
    uplink: Rc<RefCell<Uplink>>,
    bytes: usize,
}

impl Share {
    fn new(uplink: &Rc<RefCell<Uplink>>, bytes: usize) -> Self {
        uplink.borrow_mut().begin(bytes);
        Self { uplink: Rc::clone(uplink), bytes }
    }

    /// Ends once the link has had the time to carry the answer.
    async fn leave(self, turn: Option<OwnedSemaphorePermit>) {
        let hold = self.uplink.borrow().hold(self.bytes);
        tokio::time::sleep(hold).await;
        drop(turn);
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.uplink.borrow_mut().end(self.bytes);
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
