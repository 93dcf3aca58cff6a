//! Scheduling of large responses on the uplink of this machine.

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

/// Smallest response that is scheduled, in bytes: a smaller one is a few packets, which don't delay others.
pub(crate) const MIN_LARGE_RESPONSE: usize = 32 << 10;

/// Largest part of a response that is handed to the connection at once, in bytes, so that a response whose reader is
/// slow isn't buffered twice.
const MAX_CHUNK: usize = 16 << 10;

/// Last bytes of a response that are handed to the connection as copies: what the connection has not yet written would
/// otherwise keep the whole response in memory, although it no longer counts as held.
const COPIED_TAIL: usize = 256 << 10;

/// Longest time that a response is queued. The readers of those before it may have vanished, and a response that is
/// ready has to be delivered.
const MAX_WAIT: Duration = Duration::from_millis(400);

/// Sends large responses one after another, as fast as the uplink of this machine takes them.
#[derive(Clone, Debug)]
pub(crate) struct UplinkScheduler {
    pub(crate) backlog: Rc<RefCell<UplinkBacklog>>,
    clock: Clock,
    /// One permit, held by the response that is sent next.
    next: Rc<Semaphore>,
}

/// Body of a large response, whole in memory, that is sent once it is scheduled.
pub(crate) struct ScheduledBody {
    rest: Bytes,
    /// The wait until it may be sent; `None` once it may.
    wait: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl UplinkScheduler {
    /// Creates a scheduler for an uplink of `megabits_per_s`; 0 if its rate is not known.
    pub(crate) fn new(megabits_per_s: f64, clock: Clock) -> Self {
        let backlog = Rc::new(RefCell::new(UplinkBacklog::new(megabits_per_s)));
        Self { backlog, clock, next: Rc::new(Semaphore::new(1)) }
    }

    /// Records that `bytes` of a response are sent at once, before all queued responses. That holds for small
    /// responses, for forwarded ones, and for configurations that are sent to other daemons.
    pub(crate) fn record_immediate(&self, bytes: usize) {
        self.backlog.borrow_mut().send_immediately(self.clock.now(), bytes);
    }

    /// Queues the body `bytes`; `None` if it is small enough to be sent at once.
    pub(crate) fn queue(&self, bytes: &Bytes) -> Option<ScheduledBody> {
        if bytes.len() < MIN_LARGE_RESPONSE {
            return None;
        }
        let queued = QueuedResponse::new(&self.backlog, bytes.len());
        let wait = self.clone().wait(queued);
        Some(ScheduledBody { rest: bytes.clone(), wait: Some(Box::pin(wait)) })
    }

    /// Waits until the response `queued` may be sent.
    async fn wait(self, queued: QueuedResponse) {
        // A response that has waited for the longest time is sent regardless of the backlog.
        let _ = tokio::time::timeout(MAX_WAIT, self.wait_for_room(queued.bytes)).await;
        queued.start_sending(self.clock.now());
    }

    /// Waits until all responses before were started and one of `bytes` fits into the send window.
    async fn wait_for_room(&self, bytes: usize) {
        let _next = self.next.acquire().await;
        loop {
            let delay = self.backlog.borrow().send_delay(self.clock.now(), bytes);
            if delay.is_zero() {
                break;
            }
            // Responses that are sent without being queued may have made the delay longer.
            tokio::time::sleep(delay).await;
        }
    }
}

/// A response in the backlog of the uplink; removed if it is dropped before it is sent.
struct QueuedResponse {
    backlog: Rc<RefCell<UplinkBacklog>>,
    /// Number of queued bytes.
    bytes: usize,
}

impl QueuedResponse {
    fn new(backlog: &Rc<RefCell<UplinkBacklog>>, bytes: usize) -> Self {
        backlog.borrow_mut().enqueue(bytes);
        Self { backlog: Rc::clone(backlog), bytes }
    }

    /// Records that the response starts to be sent.
    fn start_sending(mut self, now: Moment) {
        let bytes = std::mem::take(&mut self.bytes);
        self.backlog.borrow_mut().start_sending(now, bytes);
    }
}

impl Drop for QueuedResponse {
    fn drop(&mut self) {
        self.backlog.borrow_mut().cancel(self.bytes);
    }
}

impl ScheduledBody {
    /// A body that is sent at once, in pieces.
    pub(crate) fn immediate(bytes: Bytes) -> Self {
        Self { rest: bytes, wait: None }
    }

    /// Number of bytes that are sent without being scheduled.
    pub(crate) fn unscheduled_len(&self) -> usize {
        if self.wait.is_some() { 0 } else { self.len() }
    }

    /// Number of bytes that are still to be sent.
    pub(crate) fn len(&self) -> usize {
        self.rest.len()
    }

    /// The next chunk, once the body may be sent.
    pub(crate) fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Frame<Bytes>>> {
        if let Some(wait) = &mut self.wait {
            std::task::ready!(wait.as_mut().poll(cx));
            self.wait = None;
        }
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let copied = self.rest.len() <= COPIED_TAIL;
        let chunk = self.rest.split_to(MAX_CHUNK.min(self.rest.len()));
        let chunk = if copied { Bytes::copy_from_slice(&chunk) } else { chunk };
        Poll::Ready(Some(Frame::data(chunk)))
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
