//! Queue of future events of a simulation.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Future events, ordered by time. Events of the same time are ordered as they were scheduled.
pub(crate) struct EventQueue<E> {
    now: Duration,
    count: u64,
    heap: BinaryHeap<Reverse<(Duration, u64, E)>>,
}

impl<E: Ord> EventQueue<E> {
    pub(crate) fn new() -> Self {
        Self { now: Duration::ZERO, count: 0, heap: BinaryHeap::new() }
    }

    pub(crate) fn now(&self) -> Duration {
        self.now
    }

    /// Schedules an event `delay` from now.
    pub(crate) fn schedule(&mut self, delay: Duration, event: E) {
        self.count += 1;
        self.heap.push(Reverse((self.now + delay, self.count, event)));
    }

    /// Advances the clock to the next event and removes it.
    pub(crate) fn next(&mut self) -> Option<E> {
        let Reverse((time, _, event)) = self.heap.pop()?;
        self.now = time;
        Some(event)
    }
}
