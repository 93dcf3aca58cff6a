//! Queue of requests that wait for a slot.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use rattanarch_types::Moment;
use rattanarch_types::Rank;

/// Shortest time after which a shed caller is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Ratio of its time to the deadline that a request may wait: a caller that is refused after that still has time to
/// retry, here or elsewhere.
const MAX_WAIT_RATIO: f64 = 0.5;

/// Throughput of an upstream, as its concurrency and service time.
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
    /// The request as it was pushed.
    pub item: T,
    /// Time after which a retry may succeed.
    pub retry_after: Duration,
}

/// Result of [`Queue::pop`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PopResult<T> {
    /// The request to run, if any waits.
    pub next: Option<T>,
    /// Requests that can no longer meet their deadlines, or have waited too long.
    pub shed: Vec<ShedRequest<T>>,
}

#[derive(Debug)]
struct Entry<T> {
    item: T,
    deadline: Moment,
    /// Time until which the request may wait.
    wait_until: Moment,
}

/// Bounded priority queue, first in, first out within a rank.
///
/// A request that cannot get its response by its deadline at the upstream's [`Throughput`] is shed: when it is
/// pushed, or when more urgent requests delay it. A request that has waited for half of the time to its deadline
/// is shed as well, so that its caller has time to retry elsewhere. A full queue sheds the newest request of
/// the least urgent rank.
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
/// // The stock check goes first, so that the deposit would miss its deadline and is shed now.
/// let shed = queue.push(ms(1), Priority::Urgent, ms(500), "stock");
/// assert_eq!(shed[0].item, "deposit");
/// assert_eq!(queue.pop(ms(40)).next, Some("stock"));
/// ```
#[derive(Debug)]
pub struct Queue<T> {
    /// Waiting requests by rank, the most urgent first; no value is empty.
    by_rank: BTreeMap<Rank, VecDeque<Entry<T>>>,
    capacity: usize,
    throughput: Throughput,
    /// Shortest mean time between two starts.
    start_interval: Duration,
}

impl<T> Queue<T> {
    /// An empty queue of at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        let throughput = Throughput { concurrency: 1, service_time: Duration::ZERO };
        Self { by_rank: BTreeMap::new(), capacity, throughput, start_interval: Duration::ZERO }
    }

    /// Sets the current throughput of the upstream.
    pub fn set_throughput(&mut self, throughput: Throughput) {
        self.throughput = Throughput { concurrency: throughput.concurrency.max(1), ..throughput };
    }

    /// Sets the shortest mean time between two starts, which limits the rate in addition to the throughput; zero without
    /// a limit.
    pub fn set_start_interval(&mut self, interval: Duration) {
        self.start_interval = interval;
    }

    /// Sets the maximum number of waiting requests. Requests that wait already stay.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.by_rank.values().map(VecDeque::len).sum()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.by_rank.is_empty()
    }

    /// Number of requests that would run before a new one of `rank`.
    pub fn ahead(&self, rank: impl Into<Rank>) -> usize {
        self.by_rank.range(..=rank.into()).map(|(_, requests)| requests.len()).sum()
    }

    /// Expected time until a new request of `rank` starts, while all slots are taken.
    pub fn expected_wait(&self, rank: impl Into<Rank>) -> Duration {
        self.time_for(self.ahead(rank) + 1)
    }

    /// Adds a request whose response must arrive by `deadline`. Returns the requests that are shed, of
    /// which this may be one.
    pub fn push(
        &mut self,
        now: Moment,
        rank: impl Into<Rank>,
        deadline: Moment,
        item: T,
    ) -> Vec<ShedRequest<T>> {
        let wait_until = now + deadline.saturating_sub(now).mul_f64(MAX_WAIT_RATIO);
        let entry = Entry { item, deadline, wait_until };
        self.by_rank.entry(rank.into()).or_default().push_back(entry);
        let mut shed = self.expire(now);
        if self.len() > self.capacity {
            shed.extend(self.shed_newest());
        }
        shed
    }

    /// Takes the next request to run. A slot must be free for it.
    pub fn pop(&mut self, now: Moment) -> PopResult<T> {
        let shed = self.shed_late(now, 0);
        let Some(mut requests) = self.by_rank.first_entry() else {
            return PopResult { next: None, shed };
        };
        let next = requests.get_mut().pop_front().map(|entry| entry.item);
        if requests.get().is_empty() {
            requests.remove();
        }
        PopResult { next, shed }
    }

    /// Sheds all requests of `rank` and of less urgent ranks.
    pub fn shed_from(&mut self, rank: impl Into<Rank>) -> Vec<ShedRequest<T>> {
        let retry_after = self.retry_after();
        let ranks = self.by_rank.split_off(&rank.into());
        let entries = ranks.into_values().flatten();
        entries.map(|entry| ShedRequest { item: entry.item, retry_after }).collect()
    }

    /// Drops waiting requests for which `keep` is false, such as those of callers that have disconnected.
    pub fn retain(&mut self, keep: impl Fn(&T) -> bool) {
        for requests in self.by_rank.values_mut() {
            requests.retain(|entry| keep(&entry.item));
        }
        self.by_rank.retain(|_, requests| !requests.is_empty());
    }

    /// Sheds requests that can no longer meet their deadlines or have waited too long, while all slots are taken.
    pub fn expire(&mut self, now: Moment) -> Vec<ShedRequest<T>> {
        self.shed_late(now, 1)
    }

    /// Sheds requests that have waited too long, or would miss their deadlines if `running` more requests have to end
    /// before the first waiting one starts.
    fn shed_late(&mut self, now: Moment, running: usize) -> Vec<ShedRequest<T>> {
        let mut shed = Vec::new();
        let mut ahead = running;
        for (rank, requests) in std::mem::take(&mut self.by_rank) {
            for entry in requests {
                let response_at = now + self.time_for(ahead) + self.throughput.service_time;
                // With a free slot the request starts now, however long it has waited.
                if response_at < entry.deadline && (ahead == 0 || now < entry.wait_until) {
                    self.by_rank.entry(rank).or_default().push_back(entry);
                    ahead += 1;
                } else {
                    shed.push(entry.item);
                }
            }
        }
        let retry_after = self.retry_after();
        shed.into_iter().map(|item| ShedRequest { item, retry_after }).collect()
    }

    /// Time in which the upstream completes `count` requests.
    fn time_for(&self, count: usize) -> Duration {
        let Throughput { concurrency, service_time } = self.throughput;
        let by_slots = service_time.mul_f64(count as f64 / f64::from(concurrency));
        by_slots.max(self.start_interval.mul_f64(count as f64))
    }

    /// Time until all requests that wait now have run.
    fn retry_after(&self) -> Duration {
        self.time_for(self.len() + 1).max(MIN_RETRY_AFTER)
    }

    fn shed_newest(&mut self) -> Option<ShedRequest<T>> {
        let retry_after = self.retry_after();
        let mut requests = self.by_rank.last_entry()?;
        let newest = requests.get_mut().pop_back();
        if requests.get().is_empty() {
            requests.remove();
        }
        newest.map(|entry| ShedRequest { item: entry.item, retry_after })
    }
}
