//! Queue of requests that wait for a slot.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use rattanarch_types::FlowId;
use rattanarch_types::Moment;
use rattanarch_types::Rank;

use crate::FlowShares;

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
    /// When its response had to arrive.
    pub deadline: Moment,
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
    flow: Option<FlowId>,
    deadline: Moment,
    /// Time until which the request may wait.
    wait_until: Moment,
}

impl<T> Entry<T> {
    fn shed(self, retry_after: Duration) -> ShedRequest<T> {
        ShedRequest { item: self.item, deadline: self.deadline, retry_after }
    }
}

/// Bounded priority queue. Within a rank, requests of flows that are over their share of the upstream wait behind the
/// others, each group first in, first out; requests without a flow are never over a share.
///
/// A request that cannot get its response by its deadline at the upstream's [`Throughput`] is shed: when it is
/// pushed, or when more urgent requests delay it. A request that has waited for half of the time to its deadline
/// is shed as well, so that its caller has time to retry elsewhere. A full queue sheds from the least urgent rank: the
/// newest request of the flow that has most of them there. Requests without a flow count as flows of one request.
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
    shares: FlowShares,
}

impl<T> Queue<T> {
    /// An empty queue of at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        let throughput = Throughput { concurrency: 1, service_time: Duration::ZERO };
        Self {
            by_rank: BTreeMap::new(),
            capacity,
            throughput,
            start_interval: Duration::ZERO,
            shares: FlowShares::default(),
        }
    }

    /// A copy of this queue in which each waiting request is what `copy` returns for it; requests for which it returns
    /// `None` are left out.
    pub fn copy_with<U>(&self, copy: impl Fn(&T) -> Option<U>) -> Queue<U> {
        let entry = |entry: &Entry<T>| {
            let item = copy(&entry.item)?;
            let Entry { flow, deadline, wait_until, .. } = *entry;
            Some(Entry { item, flow, deadline, wait_until })
        };
        let ranks = self.by_rank.iter();
        let by_rank: BTreeMap<Rank, VecDeque<Entry<U>>> = ranks
            .map(|(rank, requests)| (*rank, requests.iter().filter_map(entry).collect()))
            .filter(|(_, requests): &(Rank, VecDeque<Entry<U>>)| !requests.is_empty())
            .collect();
        Queue {
            by_rank,
            capacity: self.capacity,
            throughput: self.throughput,
            start_interval: self.start_interval,
            shares: self.shares.clone(),
        }
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

    /// Number of requests that would run before a new one of `rank` and `flow`.
    fn ahead_of_flow(&self, now: Moment, rank: Rank, flow: Option<FlowId>) -> usize {
        let requests = self.by_rank.get(&rank);
        let same_flow = |entry: &&Entry<T>| flow.is_some() && entry.flow == flow;
        let of_flow = requests.map_or(0, |requests| requests.iter().filter(same_flow).count());
        let over = flow.is_some_and(|flow| self.shares.is_over(now, flow, of_flow));
        let behind = requests.filter(|_| !over).map_or(0, |requests| {
            self.over_share(now, requests).into_iter().filter(|over| *over).count()
        });
        self.ahead(rank) - behind
    }

    /// Expected time until a new request of `rank` without a flow starts, while all slots are taken.
    pub fn expected_wait(&self, rank: impl Into<Rank>) -> Duration {
        self.time_for(self.ahead(rank) + 1)
    }

    /// As [`Queue::expected_wait`], for a new request of `flow`.
    pub fn wait_of_flow(&self, now: Moment, rank: Rank, flow: Option<FlowId>) -> Duration {
        self.time_for(self.ahead_of_flow(now, rank, flow) + 1)
    }

    /// Counts a request of `flow` that has started without waiting here.
    pub fn count_start(&mut self, now: Moment, flow: Option<FlowId>) {
        if let Some(flow) = flow {
            self.shares.record_start(now, flow);
        }
    }

    /// Adds a request without a flow, whose response must arrive by `deadline`. Returns the requests that are shed, of
    /// which this may be one.
    pub fn push(
        &mut self,
        now: Moment,
        rank: impl Into<Rank>,
        deadline: Moment,
        item: T,
    ) -> Vec<ShedRequest<T>> {
        self.push_to_flow(now, rank.into(), None, deadline, item)
    }

    /// As [`Queue::push`], for a request of `flow`.
    pub fn push_to_flow(
        &mut self,
        now: Moment,
        rank: Rank,
        flow: Option<FlowId>,
        deadline: Moment,
        item: T,
    ) -> Vec<ShedRequest<T>> {
        let wait_until = now + deadline.saturating_sub(now).mul_f64(MAX_WAIT_RATIO);
        let entry = Entry { item, flow, deadline, wait_until };
        self.by_rank.entry(rank).or_default().push_back(entry);
        let mut shed = self.expire(now);
        if self.len() > self.capacity {
            shed.extend(self.shed_largest());
        }
        shed
    }

    /// Takes the next request to run. A slot must be free for it.
    pub fn pop(&mut self, now: Moment) -> PopResult<T> {
        let shed = self.shed_late(now, 0);
        let Some((&rank, requests)) = self.by_rank.first_key_value() else {
            return PopResult { next: None, shed };
        };
        let first = self.over_share(now, requests).into_iter().position(|over| !over).unwrap_or(0);
        let next = self.remove(rank, first).map(|entry| {
            self.count_start(now, entry.flow);
            entry.item
        });
        PopResult { next, shed }
    }

    /// Sheds all requests of `rank` and of less urgent ranks.
    pub fn shed_from(&mut self, rank: impl Into<Rank>) -> Vec<ShedRequest<T>> {
        let retry_after = self.retry_after();
        let ranks = self.by_rank.split_off(&rank.into());
        let entries = ranks.into_values().flatten();
        entries.map(|entry| entry.shed(retry_after)).collect()
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
            let over = self.over_share(now, &requests);
            let mut kept = vec![false; requests.len()];
            for index in run_order(&over) {
                let Entry { deadline, wait_until, .. } = requests[index];
                let response_at = now + self.time_for(ahead) + self.throughput.service_time;
                // With a free slot the request starts now, however long it has waited.
                kept[index] = response_at < deadline && (ahead == 0 || now < wait_until);
                ahead += usize::from(kept[index]);
            }
            for (entry, kept) in requests.into_iter().zip(kept) {
                if kept {
                    self.by_rank.entry(rank).or_default().push_back(entry);
                } else {
                    shed.push(entry);
                }
            }
        }
        let retry_after = self.retry_after();
        shed.into_iter().map(|entry| entry.shed(retry_after)).collect()
    }

    /// Whether each of the requests of one rank is over the share of its flow, given those of its flow ahead of it.
    fn over_share(&self, now: Moment, requests: &VecDeque<Entry<T>>) -> Vec<bool> {
        let mut ahead: HashMap<FlowId, usize> = HashMap::new();
        let over = requests.iter().map(|entry| {
            entry.flow.is_some_and(|flow| {
                let ahead = ahead.entry(flow).or_default();
                *ahead += 1;
                self.shares.is_over(now, flow, *ahead - 1)
            })
        });
        over.collect()
    }

    /// Time in which the upstream completes `count` requests.
    fn time_for(&self, count: usize) -> Duration {
        let Throughput { concurrency, service_time } = self.throughput;
        let by_slots = service_time.mul_f64(count as f64 / f64::from(concurrency));
        by_slots.max(self.start_interval.mul_f64(count as f64))
    }

    /// Time until all requests that wait now have run.
    pub fn retry_after(&self) -> Duration {
        self.time_for(self.len() + 1).max(MIN_RETRY_AFTER)
    }

    /// Sheds the newest request of the flow that has most requests of the least urgent rank.
    fn shed_largest(&mut self) -> Option<ShedRequest<T>> {
        let retry_after = self.retry_after();
        let (&rank, requests) = self.by_rank.last_key_value()?;
        let mut counts: HashMap<FlowId, usize> = HashMap::new();
        for flow in requests.iter().filter_map(|entry| entry.flow) {
            *counts.entry(flow).or_default() += 1;
        }
        let size = |entry: &Entry<T>| entry.flow.map_or(1, |flow| counts[&flow]);
        // Of equals, `max_by_key` returns the last one, which is the newest.
        let largest = requests.iter().enumerate().max_by_key(|(_, entry)| size(entry));
        let index = largest.map(|(index, _)| index)?;
        self.remove(rank, index).map(|entry| entry.shed(retry_after))
    }

    /// Removes one request of `rank`.
    fn remove(&mut self, rank: Rank, index: usize) -> Option<Entry<T>> {
        let requests = self.by_rank.get_mut(&rank)?;
        let removed = requests.remove(index);
        if requests.is_empty() {
            self.by_rank.remove(&rank);
        }
        removed
    }
}

/// Indexes of the requests of one rank in the order in which they run, given which are over their share.
fn run_order(over: &[bool]) -> impl Iterator<Item = usize> {
    let within = (0..over.len()).filter(|index| !over[*index]);
    within.chain((0..over.len()).filter(|index| over[*index]))
}
