//! Requests that wait for a slot.

use std::collections::VecDeque;
use std::time::Instant;

use rattanarch_types::Priority;

/// Bounded queue by priority; first come, first served within one.
#[derive(Debug)]
pub(crate) struct Waiting<T> {
    /// By priority, the lowest first.
    lanes: [VecDeque<Entry<T>>; 3],
    max: usize,
}

#[derive(Debug)]
struct Entry<T> {
    item: T,
    /// When it is too late to start.
    latest: Instant,
}

impl<T> Waiting<T> {
    /// An empty queue of at most `max`.
    pub(crate) fn new(max: usize) -> Self {
        Self { lanes: Default::default(), max }
    }

    /// Requests that go before a new one of `priority`.
    pub(crate) fn ahead(&self, priority: Priority) -> usize {
        self.lanes[lane(priority)..].iter().map(VecDeque::len).sum()
    }

    /// Adds a request. A full queue drops its newest one of the lowest priority, which may be this
    /// one: dropping it tells its caller.
    pub(crate) fn push(&mut self, priority: Priority, latest: Instant, item: T) {
        self.lanes[lane(priority)].push_back(Entry { item, latest });
        if self.lanes.iter().map(VecDeque::len).sum::<usize>() > self.max
            && let Some(lowest) = self.lanes.iter_mut().find(|lane| !lane.is_empty())
        {
            lowest.pop_back();
        }
    }

    /// The next request that is not too late at `now`; drops those that are.
    pub(crate) fn pop(&mut self, now: Instant) -> Option<T> {
        for lane in self.lanes.iter_mut().rev() {
            while let Some(entry) = lane.pop_front() {
                if now < entry.latest {
                    return Some(entry.item);
                }
            }
        }
        None
    }
}

fn lane(priority: Priority) -> usize {
    match priority {
        Priority::Deferrable => 0,
        Priority::Normal => 1,
        Priority::Urgent => 2,
    }
}
