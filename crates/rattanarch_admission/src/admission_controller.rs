//! The only way to the upstream beside a daemon.

use std::time::Duration;

use rattanarch_types::Moment;
use rattanarch_types::Rank;

use crate::ColdRateLimiter;
use crate::PopResult;
use crate::Queue;
use crate::ShedRequest;
use crate::Throughput;

/// Requests that may wait, for each slot: those far back would be late in any case.
const QUEUE_FACTOR: usize = 4;

/// Weight of a new service time in the mean: some twenty answers, a fraction of a second under
/// load, so that a slow neighbour shows and one long request does not.
const MEAN_WEIGHT: f64 = 0.05;

/// Service time that is expected before the first answer.
const FIRST_MEAN: Duration = Duration::from_millis(100);

/// Interval in which arrivals are counted: some ten requests on a busy day.
const RATE_INTERVAL: Duration = Duration::from_millis(250);

/// Weight of the newest interval in the rate of arrivals: a burst shows within a second.
const RATE_WEIGHT: f64 = 0.35;

/// Time that the rate of arrivals spans: its newest interval weighs [`RATE_WEIGHT`].
const RATE_SPAN: Duration = Duration::from_millis(700);

/// Longest time that the work in excess adds to a refused caller's pause: about as long as callers of the known
/// deployments have left after a refusal.
const MAX_EXCESS: Duration = Duration::from_millis(600);

/// Offered work, in parts of what the slots can do, above which what comes too late for its
/// objective is refused: its place would make others late, and it would only get in their way.
const SATURATED: f64 = 0.92;

/// Multiple of the expected time that has to fit the objective: half of the answers take longer than
/// expected.
const CAUTION: f64 = 1.3;

/// Added to the rank of a request that will miss its objective.
const LATE_RANK: Rank = 100;

/// A request that asks to be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PendingRequest<T> {
    /// Urgency.
    pub rank: Rank,
    /// When its answer should be there; after that it is worth less.
    pub objective: Moment,
    /// When its answer has to be there.
    pub deadline: Moment,
    /// The request.
    pub item: T,
}

/// What became of an offer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OfferResult<T> {
    /// The request, if it may start at once; it then holds a slot.
    pub started: Option<T>,
    /// Requests that will not run, of which this may be one.
    pub shed: Vec<ShedRequest<T>>,
}

/// Admits requests to one upstream: at most one for each slot, at its pace while it is cold, the
/// most urgent first, and none that would miss its deadline. Requests that will miss their objective
/// wait behind those that can make it, or are refused at once while more work is offered than the
/// upstream can do.
///
/// Answers the load of the heaviest days: more requests than slots, of several ranks. All daemons
/// send through the upstream's own, so that its count of running requests is exact and nothing ever
/// waits inside the upstream, which may drop what it cannot queue.
///
/// ```
/// use std::time::Duration;
/// use rattanarch_admission::{AdmissionController, PendingRequest};
///
/// let ms = Duration::from_millis;
/// let wish = |rank, item| PendingRequest { rank, objective: ms(800), deadline: ms(1_000), item };
/// let mut gate = AdmissionController::new(1);
/// assert_eq!(gate.offer(ms(0), wish(1, "first")).started, Some("first"));
/// assert_eq!(gate.offer(ms(1), wish(2, "second")).started, None);
/// assert_eq!(gate.offer(ms(2), wish(0, "urgent")).started, None);
/// gate.finish(Some(ms(50)));
/// assert_eq!(gate.start_next(ms(50)).next, Some("urgent"));
/// assert_eq!(gate.start_next(ms(50)).next, None);
/// ```
#[derive(Debug)]
pub struct AdmissionController<T> {
    slots: u32,
    /// Requests that hold a slot.
    running: u32,
    queue: Queue<T>,
    cold: ColdRateLimiter,
    /// Mean service time in seconds; 0 before the first answer.
    mean: f64,
    arrivals: Arrivals,
}

/// Rate at which requests are offered.
#[derive(Debug, Default)]
struct Arrivals {
    /// Requests a second.
    rate: f64,
    /// Requests since `since`.
    count: u32,
    since: Moment,
}

impl Arrivals {
    fn note(&mut self, now: Moment) {
        let time = now.saturating_sub(self.since);
        if time >= RATE_INTERVAL {
            let newest = f64::from(self.count) / time.as_secs_f64();
            self.rate += (newest - self.rate) * RATE_WEIGHT;
            self.count = 0;
            self.since = now;
        }
        self.count += 1;
    }
}

impl<T> AdmissionController<T> {
    /// A gate to an upstream with `slots` (at least 1).
    pub fn new(slots: u32) -> Self {
        let slots = slots.max(1);
        let queue = Queue::new(slots as usize * QUEUE_FACTOR);
        let arrivals = Arrivals::default();
        Self { slots, running: 0, queue, cold: ColdRateLimiter::default(), mean: 0.0, arrivals }
    }

    /// Sets the number of slots, which may differ in each life of the upstream.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
        self.queue.set_capacity(self.slots as usize * QUEUE_FACTOR);
    }

    /// Notes that the upstream stays cold for `left` and bears `rate` requests a second.
    pub fn set_cold(&mut self, now: Moment, left: Duration, rate: f64) {
        self.cold.set_cold(now, left, rate);
    }

    /// Whether the upstream is cold.
    pub fn is_cold(&self, now: Moment) -> bool {
        self.cold.is_cold(now)
    }

    /// Offers a request.
    pub fn offer(&mut self, now: Moment, wish: PendingRequest<T>) -> OfferResult<T> {
        self.arrivals.note(now);
        self.set_throughput(now);
        if self.queue.ahead(wish.rank) == 0
            && self.running < self.slots
            && self.cold.try_acquire(now)
        {
            self.running += 1;
            return OfferResult { started: Some(wish.item), shed: Vec::new() };
        }
        let expected = self.queue.expected_wait(wish.rank) + self.mean_service_time();
        let late = now + expected.mul_f64(CAUTION) > wish.objective;
        let rank = if late { wish.rank.saturating_add(LATE_RANK) } else { wish.rank };
        let mut shed = self.queue.push(now, rank, wish.deadline, wish.item);
        if self.offered(now) > SATURATED {
            shed.extend(self.queue.shed_from(LATE_RANK));
        }
        OfferResult { started: None, shed: self.put_off(now, shed) }
    }

    /// Adds to the pauses of refused callers the time in which the slots could do what was offered beyond them
    /// lately. Under lasting overload the queue is as full when it has run as it is now: whoever comes back
    /// then is refused again, for want of the same slots.
    fn put_off(&self, now: Moment, mut shed: Vec<ShedRequest<T>>) -> Vec<ShedRequest<T>> {
        if shed.is_empty() {
            return shed;
        }
        let excess = (self.offered(now) - 1.0).max(0.0);
        let time = RATE_SPAN.mul_f64(excess).min(MAX_EXCESS);
        shed.iter_mut().for_each(|shed| shed.retry_after += time);
        shed
    }

    /// Work that is offered, in parts of what the upstream can do.
    fn offered(&self, now: Moment) -> f64 {
        let mean = self.mean_service_time().as_secs_f64();
        let capacity = (f64::from(self.slots) / mean).min(self.cold.rate(now));
        self.arrivals.rate / capacity
    }

    /// Starts the next waiting request, if a slot and the pace allow one. To be called until it
    /// returns none after [`AdmissionController::finish`] and at [`AdmissionController::next_start`].
    pub fn start_next(&mut self, now: Moment) -> PopResult<T> {
        self.set_throughput(now);
        if self.queue.is_empty() || self.running >= self.slots || !self.cold.try_acquire(now) {
            let shed = self.queue.expire(now);
            return PopResult { next: None, shed: self.put_off(now, shed) };
        }
        let PopResult { next, shed } = self.queue.pop(now);
        self.running += u32::from(next.is_some());
        PopResult { next, shed: self.put_off(now, shed) }
    }

    /// Frees a slot; `took` is the service time of a request that the upstream answered.
    pub fn finish(&mut self, took: Option<Duration>) {
        self.running = self.running.saturating_sub(1);
        let Some(seconds) = took.map(|took| took.as_secs_f64()) else { return };
        let weight = if self.mean == 0.0 { 1.0 } else { MEAN_WEIGHT };
        self.mean += (seconds - self.mean) * weight;
    }

    /// When [`AdmissionController::start_next`] is to be called although no slot becomes free: requests wait for the
    /// pace of a cold upstream.
    pub fn next_start(&self, now: Moment) -> Option<Moment> {
        let waits = !self.queue.is_empty() && self.running < self.slots;
        self.cold.next_permit(now).filter(|_| waits)
    }

    /// Drops waiting requests that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&T) -> bool) {
        self.queue.retain(keep);
    }

    /// Requests that hold a slot.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests that wait.
    pub fn waiting(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Slots of the upstream.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Mean service time; a guess before the first answer.
    pub fn mean_service_time(&self) -> Duration {
        if self.mean == 0.0 { FIRST_MEAN } else { Duration::from_secs_f64(self.mean) }
    }

    /// Requests that end at once: the slots, or fewer while the pace of a cold upstream binds.
    fn set_throughput(&mut self, now: Moment) {
        let mean = self.mean_service_time();
        let paced = self.cold.rate(now) * mean.as_secs_f64();
        let limit = f64::from(self.slots).min(paced).max(1.0) as u32;
        self.queue.set_throughput(Throughput { concurrency: limit, service_time: mean });
    }
}
