//! Wait until the body of a request fits beside those that are under way to the upstream.

use std::rc::Rc;

use rattanarch_admission::BytesTicket;

use crate::process::Shared;
use crate::request::Call;
use crate::request::Reason;
use crate::request::Refusal;

/// Ratio of the time to its deadline that a request may wait for the bodies of others: the rest has to suffice for the
/// work, and a refused caller needs time to retry.
const WAIT_RATIO: f64 = 0.4;

/// The bytes of one request under way to the upstream; removed when it is dropped.
pub(crate) struct BytesSlot {
    shared: Rc<Shared>,
    bytes: usize,
}

/// Place of a request that waits; it leaves when this is dropped.
struct WaitingBytes<'a> {
    shared: &'a Shared,
    ticket: BytesTicket,
}

/// Waits, without a slot of the upstream, until the body of `call` may be under way to it.
///
/// # Errors
/// A refusal, if the others take too long; the request hasn't run then.
pub(crate) async fn wait_for_bytes(shared: &Rc<Shared>, call: &Call) -> Result<BytesSlot, Refusal> {
    let bytes = call.body.len();
    let slot = || BytesSlot { shared: Rc::clone(shared), bytes };
    if shared.upstream.state.borrow_mut().bytes.try_add(call.rank, bytes) {
        return Ok(slot());
    }
    let ticket = shared.upstream.state.borrow_mut().bytes.wait(call.rank, bytes);
    let place = WaitingBytes { shared, ticket };
    let waiting = async {
        loop {
            let freed = shared.upstream.bytes_freed.notified();
            if shared.upstream.state.borrow_mut().bytes.try_admit(place.ticket, bytes) {
                return slot();
            }
            freed.await;
        }
    };
    let left = call.deadline.saturating_sub(shared.now());
    tokio::time::timeout(left.mul_f64(WAIT_RATIO), waiting)
        .await
        .map_err(|_| Refusal::from(Reason::Overloaded))
}

impl Drop for WaitingBytes<'_> {
    fn drop(&mut self) {
        self.shared.upstream.state.borrow_mut().bytes.leave(self.ticket);
        // The next one may fit, whether this one was admitted or gave up.
        self.shared.upstream.bytes_freed.notify_waiters();
    }
}

impl Drop for BytesSlot {
    fn drop(&mut self) {
        self.shared.upstream.state.borrow_mut().bytes.remove(self.bytes);
        if self.bytes > 0 {
            self.shared.upstream.bytes_freed.notify_waiters();
        }
    }
}
