//! Wires the budget of held bytes to the tasks that hold them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::Debug;
use std::fmt::Formatter;
use std::rc::Rc;

use rattanarch_admission::ByteBudget;
use rattanarch_admission::CapacityPlan;
use rattanarch_admission::HolderKey;
use rattanarch_admission::Reservation;
use rattanarch_process::Clock;
use tokio::sync::Notify;

use crate::connection::Listener;
use crate::connection::limit_log::LimitEvent;
use crate::connection::limit_log::LimitLog;
use crate::process::ActiveCount;

/// Bytes that callers and peers make this process hold.
#[derive(Clone)]
pub(crate) struct HeldBytes(Rc<Inner>);

struct Inner {
    plan: CapacityPlan,
    clock: Clock,
    budget: RefCell<ByteBudget>,
    /// Signals of the open holders.
    signals: RefCell<HashMap<HolderKey, Rc<Signal>>>,
    log: LimitLog,
    /// Open connections by listener.
    connections: RefCell<Vec<(Listener, ActiveCount)>>,
}

/// Tells a holder that it is given up.
#[derive(Default)]
struct Signal {
    given_up: Notify,
    /// Listener of the connection that the holder keeps busy; `None` for a response that is not being sent yet.
    listener: Cell<Option<Listener>>,
    /// Closes the connection that writes the response.
    close: RefCell<Option<Rc<Notify>>>,
}

/// What one body or response holds; released when it is dropped.
pub(crate) struct HeldGuard {
    held: HeldBytes,
    key: HolderKey,
    signal: Rc<Signal>,
}

impl HeldBytes {
    pub(crate) fn new(plan: CapacityPlan, clock: Clock) -> Self {
        let budget = RefCell::new(ByteBudget::new(&plan));
        let signals = RefCell::default();
        let (log, connections) = (LimitLog::default(), RefCell::default());
        Self(Rc::new(Inner { plan, clock, budget, signals, log, connections }))
    }

    /// The bounds of this process.
    pub(crate) fn plan(&self) -> &CapacityPlan {
        &self.0.plan
    }

    /// Creates the count of open connections of `listener`.
    pub(crate) fn count_connections(&self, listener: Listener) -> ActiveCount {
        let count = ActiveCount::default();
        self.0.connections.borrow_mut().push((listener, count.clone()));
        count
    }

    /// Open connections by listener.
    pub(crate) fn connections(&self) -> Vec<(Listener, usize)> {
        self.0
            .connections
            .borrow()
            .iter()
            .map(|(listener, count)| (*listener, count.get()))
            .collect()
    }

    /// Bytes held at present.
    pub(crate) fn used(&self) -> usize {
        self.0.budget.borrow().used()
    }

    /// Numbers of events by kind.
    pub(crate) fn events(&self) -> Vec<(LimitEvent, u64)> {
        self.0.log.counts()
    }

    /// Counts and logs an event.
    pub(crate) fn record(&self, event: LimitEvent) {
        self.0.log.record(self.0.clock.now(), event);
    }

    /// Opens a holder without bytes, for a body that is read from a connection of `listener`.
    pub(crate) fn open(&self, listener: Listener) -> HeldGuard {
        self.open_at(Some(listener))
    }

    fn open_at(&self, listener: Option<Listener>) -> HeldGuard {
        let key = self.0.budget.borrow_mut().open(self.0.clock.now());
        let signal = Rc::new(Signal { listener: Cell::new(listener), ..Signal::default() });
        self.0.signals.borrow_mut().insert(key, Rc::clone(&signal));
        HeldGuard { held: self.clone(), key, signal }
    }

    /// Opens a holder for a response, which is not given up while it is read from the upstream.
    pub(crate) fn open_response(&self) -> HeldGuard {
        let guard = self.open_at(None);
        guard.set_evictable(false);
        guard
    }

    /// Gives up the body or response of a connection of `listener` that has been without progress longest; returns
    /// whether there is one.
    pub(crate) fn evict_stalled(&self, listener: Listener) -> bool {
        let victim = {
            let signals = self.0.signals.borrow();
            let of_listener = |key| {
                signals.get(&key).is_some_and(|signal| signal.listener.get() == Some(listener))
            };
            self.0.budget.borrow_mut().evict_stalled(self.0.clock.now(), of_listener)
        };
        self.give_up(victim.as_slice());
        victim.is_some()
    }

    fn give_up(&self, victims: &[HolderKey]) {
        for victim in victims {
            if let Some(signal) = self.0.signals.borrow_mut().remove(victim) {
                self.record(LimitEvent::Evicted);
                signal.given_up.notify_one();
                if let Some(close) = signal.close.take() {
                    close.notify_one();
                }
            }
        }
    }
}

impl HeldGuard {
    /// Reserves `bytes` more; returns whether there is room.
    pub(crate) fn reserve(&self, bytes: usize) -> bool {
        let inner = &self.held.0;
        let reservation = inner.budget.borrow_mut().reserve(inner.clock.now(), self.key, bytes);
        match reservation {
            Reservation::Granted(victims) => {
                self.held.give_up(&victims);
                true
            }
            Reservation::Refused => false,
        }
    }

    /// Charges `bytes` of a response; returns whether the budget has room for them.
    pub(crate) fn charge_response(&self, bytes: usize) -> bool {
        let inner = &self.held.0;
        let now = inner.clock.now();
        let victims = inner.budget.borrow_mut().charge_response(now, self.key, bytes);
        self.held.give_up(&victims);
        let budget = inner.budget.borrow();
        budget.used() <= budget.limit()
    }

    /// Records progress of the transfer.
    pub(crate) fn progress(&self) {
        let inner = &self.held.0;
        inner.budget.borrow_mut().progress(inner.clock.now(), self.key);
    }

    /// Sets whether the holder may be given up.
    pub(crate) fn set_evictable(&self, evictable: bool) {
        self.held.0.budget.borrow_mut().set_evictable(self.key, evictable);
    }

    /// Waits until the holder is given up.
    pub(crate) async fn given_up(&self) {
        self.signal.given_up.notified().await;
    }

    /// Lets `close` be notified when the holder is given up, which sends its bytes on a connection of `listener`.
    pub(crate) fn close_by(&self, close: Rc<Notify>, listener: Listener) {
        self.signal.listener.set(Some(listener));
        self.signal.close.replace(Some(close));
    }
}

impl Drop for HeldGuard {
    fn drop(&mut self) {
        self.held.0.signals.borrow_mut().remove(&self.key);
        self.held.0.budget.borrow_mut().close(self.key);
    }
}

impl Debug for HeldGuard {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.debug_tuple("HeldGuard").field(&self.key).finish()
    }
}
