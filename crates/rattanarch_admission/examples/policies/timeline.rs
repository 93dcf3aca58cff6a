//! Events in the order of their times.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Events to come; those of one time in the order in which they were planned.
pub(crate) struct Timeline<E> {
    now: Duration,
    count: u64,
    heap: BinaryHeap<Reverse<(Duration, u64, E)>>,
}

impl<E: Ord> Timeline<E> {
    pub(crate) fn new() -> Self {
        Self { now: Duration::ZERO, count: 0, heap: BinaryHeap::new() }
    }

    pub(crate) fn now(&self) -> Duration {
        self.now
    }

    pub(crate) fn plan(&mut self, delay: Duration, event: E) {
        self.count += 1;
        self.heap.push(Reverse((self.now + delay, self.count, event)));
    }

    /// Goes on to the next event.
    pub(crate) fn next(&mut self) -> Option<E> {
        let Reverse((time, _, event)) = self.heap.pop()?;
        self.now = time;
        Some(event)
    }
}
