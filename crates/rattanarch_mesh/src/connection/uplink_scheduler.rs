//! Turns of large answers on the link of this machine.

use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Frame;
use rattanarch_admission::UplinkBacklog;
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
pub(crate) struct UplinkScheduler {
    pub(crate) backlog: Rc<RefCell<UplinkBacklog>>,
    clock: Clock,
    /// One permit, for the answer whose turn is next.
    next: Rc<Semaphore>,
}

/// A large answer, whole in memory, that is sent when its turn comes.
pub(crate) struct ScheduledBody {
    rest: Bytes,
    /// The wait for its turn; `None` once it has come.
    wait: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl UplinkScheduler {
    /// Turns on a link of `megabits` a second; 0 if its rate is not known.
    pub(crate) fn new(megabits: f64, clock: Clock) -> Self {
        let backlog = Rc::new(RefCell::new(UplinkBacklog::new(megabits)));
        Self { backlog, clock, next: Rc::new(Semaphore::new(1)) }
    }

    /// Notes that `bytes` of an answer go at once: what waits for its turn leaves behind them. That holds for small
    /// answers, for those that are passed on, and for configurations of other daemons.
    pub(crate) fn pass_by(&self, bytes: usize) {
        self.backlog.borrow_mut().send_immediately(self.clock.now(), bytes);
    }

    /// The body `bytes` in its turn; `None` if it is small enough to go at once.
    pub(crate) fn queue(&self, bytes: &Bytes) -> Option<ScheduledBody> {
        if bytes.len() < LARGE {
            return None;
        }
        let share = Share::new(&self.backlog, bytes.len());
        let wait = self.clone().pass(share);
        Some(ScheduledBody { rest: bytes.clone(), wait: Some(Box::pin(wait)) })
    }

    /// Ends when the answer of `share` is to be sent.
    async fn pass(self, share: Share) {
        // One that has waited long enough goes out of turn.
        let _ = tokio::time::timeout(PATIENCE, self.turn(share.bytes)).await;
        share.leave(self.clock.now());
    }

    /// Waits until those before have had their turn and an answer of `bytes` fits.
    async fn turn(&self, bytes: usize) {
        let _next = self.next.acquire().await;
        loop {
            let pause = self.backlog.borrow().send_delay(self.clock.now(), bytes);
            if pause.is_zero() {
                break;
            }
            // Those that go out of turn make it longer.
            tokio::time::sleep(pause).await;
        }
    }
}

/// What an answer takes of the link; forgotten if it is dropped before its turn.
struct Share {
    backlog: Rc<RefCell<UplinkBacklog>>,
    /// Bytes that wait for their turn.
    bytes: usize,
}

impl Share {
    fn new(backlog: &Rc<RefCell<UplinkBacklog>>, bytes: usize) -> Self {
        backlog.borrow_mut().enqueue(bytes);
        Self { backlog: Rc::clone(backlog), bytes }
    }

    /// Notes that the turn of the answer has come.
    fn leave(mut self, now: Moment) {
        let bytes = std::mem::take(&mut self.bytes);
        self.backlog.borrow_mut().start_sending(now, bytes);
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.backlog.borrow_mut().cancel(self.bytes);
    }
}

impl ScheduledBody {
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

impl std::fmt::Debug for ScheduledBody {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("ScheduledBody")
            .field("left", &self.rest.len())
            .finish_non_exhaustive()
    }
}
