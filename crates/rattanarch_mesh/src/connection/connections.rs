//! Connections of one listener.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use rattanarch_admission::longest_idle;
use rattanarch_process::Clock;
use rattanarch_types::Moment;
use tokio::sync::Notify;

use crate::connection::HeldBytes;
use crate::connection::LimitEvent;
use crate::connection::Listener;
use crate::process::ActiveCount;

/// The open connections of one listener, bounded in number.
#[derive(Debug)]
pub(crate) struct Connections {
    listener: Listener,
    limit: usize,
    next: Cell<u64>,
    open: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    /// Number of them, for the metrics.
    count: ActiveCount,
}

/// What is known of a connection.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    /// Number of requests whose response is not yet handed to the codec: 0 or 1.
    busy: Cell<u32>,
    /// Number of requests so far.
    requests: Cell<u64>,
    /// End of the last request, or start of the connection.
    idle_since: Cell<Moment>,
    /// Whether what arrives without a request under way is a head; otherwise it is the rest of a body, which is discarded
    /// until the connection is closed.
    pub(crate) awaits_head: Cell<bool>,
    /// Closes the connection.
    pub(crate) close: Rc<Notify>,
}

/// An open connection, counted until it is dropped.
pub(crate) struct OpenConnection {
    connections: Rc<Connections>,
    id: u64,
    pub(crate) state: Rc<ConnectionState>,
    pub(crate) listener: Listener,
    _counted: crate::process::ActiveGuard,
}

/// A request under way on a connection.
pub(crate) struct BusyGuard(Rc<ConnectionState>);

impl Connections {
    /// Creates the connections of `listener`, at most `limit` at once, which are counted in `count`.
    pub(crate) fn new(listener: Listener, limit: usize, count: ActiveCount) -> Self {
        Self { listener, limit, next: Cell::new(0), open: RefCell::default(), count }
    }

    /// Admits a new connection, and closes the one that is idle longest if there is no room. `None` if there is none.
    pub(crate) fn admit(self: &Rc<Self>, held: &HeldBytes) -> Option<OpenConnection> {
        if self.is_full() && !self.make_room(held) {
            held.record(LimitEvent::ConnectionRefused);
            return None;
        }
        let id = self.next.replace(self.next.get() + 1);
        let state = Rc::new(ConnectionState {
            busy: Cell::new(0),
            requests: Cell::new(0),
            idle_since: Cell::new(Clock.now()),
            awaits_head: Cell::new(true),
            close: Rc::default(),
        });
        self.open.borrow_mut().insert(id, Rc::clone(&state));
        let counted = self.count.begin();
        let (connections, listener) = (Rc::clone(self), self.listener);
        Some(OpenConnection { connections, id, state, listener, _counted: counted })
    }

    /// Whether the next connection needs the room of another.
    pub(crate) fn is_full(&self) -> bool {
        self.open.borrow().len() >= self.limit
    }

    fn make_room(&self, held: &HeldBytes) -> bool {
        let mut open = self.open.borrow_mut();
        let idle = longest_idle(open.iter().map(|(id, state)| (*id, state.idle_since())));
        let Some(state) = idle.and_then(|id| open.remove(&id)) else {
            drop(open);
            // A request whose body makes no progress ends at once, and its connection with it.
            return held.evict_stalled(self.listener);
        };
        held.record(LimitEvent::IdleClosed);
        state.close.notify_one();
        true
    }
}

impl ConnectionState {
    /// Counts a request until the guard is dropped.
    pub(crate) fn begin(self: &Rc<Self>) -> BusyGuard {
        self.busy.set(self.busy.get() + 1);
        self.requests.set(self.requests.get() + 1);
        BusyGuard(Rc::clone(self))
    }

    /// Number of requests so far.
    pub(crate) fn requests(&self) -> u64 {
        self.requests.get()
    }

    /// Since when no request is under way; `None` if one is.
    pub(crate) fn idle_since(&self) -> Option<Moment> {
        (self.busy.get() == 0).then(|| self.idle_since.get())
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.busy.set(self.0.busy.get() - 1);
        self.0.idle_since.set(Clock.now());
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.id);
    }
}
