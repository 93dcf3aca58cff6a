//! Requests that wait for a slot.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use rattanarch_types::Moment;
use rattanarch_types::Rank;

/// Least time that a shed caller is told to stay away.
const MIN_RETRY: Duration = Duration::from_millis(20);

/// Part of its time that a request may wait: a caller that is refused after it has time left to come back, or to
/// go elsewhere.
const WAIT_PART: f64 = 0.5;

/// How fast an upstream works.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Throughput {
    /// Requests that run at once; at least 1.
    pub concurrency: u32,
    /// Mean service time.
    pub service_time: Duration,
}

/// A request that will not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShedRequest<T> {
    /// What was pushed.
    pub item: T,
    /// After what time it is worth coming back.
    pub retry_after: Duration,
}

/// Result of [`Queue::pop`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PopResult<T> {
    /// The request to run, if any waits.
    pub next: Option<T>,
    /// Requests that can't make their deadlines any more.
    pub shed: Vec<ShedRequest<T>>,
}

#[derive(Debug)]
struct Entry<T> {
    item: T,
    deadline: Moment,
    /// Until when it may wait.
    patience: Moment,
}

/// Short queue by priority, first come, first served within a class.
///
/// A request that cannot be answered by its deadline at the upstream's [`Throughput`] is shed at once,
/// when it comes or when others that go first push it back, and so is one that has waited for half of its
/// time: its caller has time left to go elsewhere. A full queue sheds the newest of the lowest class.
///
/// ```
/// use std::time::Duration;
/// use rattanarch_admission::{Throughput, Queue};
/// use rattanarch_types::Priority;
///
/// let ms = Duration::from_millis;
/// let mut queue = Queue::new(40);
/// queue.set_throughput(Throughput { concurrency: 1, service_time: ms(50) });
/// assert!(queue.push(ms(0), Priority::Deferrable, ms(120), "deposit").is_empty());
/// // A stock check goes first, so that the deposit would be too late: it is told so now.
/// let shed = queue.push(ms(1), Priority::Urgent, ms(500), "stock");
/// assert_eq!(shed[0].item, "deposit");
/// assert_eq!(queue.pop(ms(40)).next, Some("stock"));
/// ```
#[derive(Debug)]
pub struct Queue<T> {
    /// Waiting requests by rank, the most urgent first; no lane is empty.
    lanes: BTreeMap<Rank, VecDeque<Entry<T>>>,
    max: usize,
    pace: Throughput,
}

impl<T> Queue<T> {
    /// An empty queue of at most `max` requests.
    pub fn new(max: usize) -> Self {
        let pace = Throughput { concurrency: 1, service_time: Duration::ZERO };
        Self { lanes: BTreeMap::new(), max, pace }
    }

    /// Sets how fast the upstream works now.
    pub fn set_throughput(&mut self, pace: Throughput) {
        self.pace = Throughput { concurrency: pace.concurrency.max(1), ..pace };
    }

    /// Sets the most requests that wait; what waits already stays.
    pub fn set_capacity(&mut self, max: usize) {
        self.max = max;
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.lanes.values().map(VecDeque::len).sum()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.lanes.is_empty()
    }

    /// Requests that go before a new one of `rank`.
    pub fn ahead(&self, rank: impl Into<Rank>) -> usize {
        self.lanes.range(..=rank.into()).map(|(_, lane)| lane.len()).sum()
    }

    /// Time until a new request of `rank` would start, while all slots are taken.
    pub fn expected_wait(&self, rank: impl Into<Rank>) -> Duration {
        self.time_for(self.ahead(rank) + 1)
    }

    /// Adds a request that must be answered by `deadline`. Returns those that will not run, of
    /// which this may be one.
    pub fn push(
        &mut self,
        now: Moment,
        rank: impl Into<Rank>,
        deadline: Moment,
        item: T,
    ) -> Vec<ShedRequest<T>> {
        let patience = now + deadline.saturating_sub(now).mul_f64(WAIT_PART);
        let entry = Entry { item, deadline, patience };
        self.lanes.entry(rank.into()).or_default().push_back(entry);
        let mut shed = self.expire(now);
        if self.len() > self.max {
            shed.extend(self.shed_newest());
        }
        shed
    }

    /// Takes the next request to run, a slot being free for it.
    pub fn pop(&mut self, now: Moment) -> PopResult<T> {
        let shed = self.sift(now, 0);
        let Some(mut lane) = self.lanes.first_entry() else {
            return PopResult { next: None, shed };
        };
        let next = lane.get_mut().pop_front().map(|entry| entry.item);
        if lane.get().is_empty() {
            lane.remove();
        }
        PopResult { next, shed }
    }

    /// Sheds everything of `rank` and less urgent.
    pub fn shed_from(&mut self, rank: impl Into<Rank>) -> Vec<ShedRequest<T>> {
        let retry_after = self.retry();
        let lanes = self.lanes.split_off(&rank.into());
        let entries = lanes.into_values().flatten();
        entries.map(|entry| ShedRequest { item: entry.item, retry_after }).collect()
    }

    /// Drops waiting requests that `keep` rejects, such as those of callers that have left.
    pub fn retain(&mut self, keep: impl Fn(&T) -> bool) {
        for lane in self.lanes.values_mut() {
            lane.retain(|entry| keep(&entry.item));
        }
        self.lanes.retain(|_, lane| !lane.is_empty());
    }

    /// Sheds what can't make its deadline any more, while all slots are taken.
    pub fn expire(&mut self, now: Moment) -> Vec<ShedRequest<T>> {
        self.sift(now, 1)
    }

    /// Sheds what can't make its deadline once `busy` more requests have ended.
    fn sift(&mut self, now: Moment, busy: usize) -> Vec<ShedRequest<T>> {
        let mut shed = Vec::new();
        let mut ahead = busy;
        for (rank, lane) in std::mem::take(&mut self.lanes) {
            for entry in lane {
                let answered = now + self.time_for(ahead) + self.pace.service_time;
                // One for which a slot is free does not wait any longer.
                if answered < entry.deadline && (ahead == 0 || now < entry.patience) {
                    self.lanes.entry(rank).or_default().push_back(entry);
                    ahead += 1;
                } else {
                    shed.push(entry.item);
                }
            }
        }
        let retry_after = self.retry();
        shed.into_iter().map(|item| ShedRequest { item, retry_after }).collect()
    }

    /// Time in which `count` requests end.
    fn time_for(&self, count: usize) -> Duration {
        self.pace.service_time.mul_f64(count as f64 / f64::from(self.pace.concurrency))
    }

    /// Time until what waits now will have run.
    fn retry(&self) -> Duration {
        self.time_for(self.len() + 1).max(MIN_RETRY)
    }

    fn shed_newest(&mut self) -> Option<ShedRequest<T>> {
        let retry_after = self.retry();
        let mut lane = self.lanes.last_entry()?;
        let newest = lane.get_mut().pop_back();
        if lane.get().is_empty() {
            lane.remove();
        }
        newest.map(|entry| ShedRequest { item: entry.item, retry_after })
    }
}
