//! Admission of requests to the upstream next to a daemon.

use std::time::Duration;

use rattanarch_types::FlowId;
use rattanarch_types::Moment;
use rattanarch_types::Rank;

use crate::AttemptOutcome;
use crate::PaceChange;
use crate::PaceForecast;
use crate::PopResult;
use crate::Queue;
use crate::RateLimiter;
use crate::RateMeter;
use crate::RetryDemand;
use crate::RetrySchedule;
use crate::ShedRequest;
use crate::Throughput;
use crate::UpstreamPace;
use crate::WorkClass;
use crate::WorkTimes;

/// Waiting requests per slot. Requests further back would be late in any case.
const QUEUE_PER_SLOT: usize = 4;

/// EWMA weight of a new service time in the mean. It averages over some twenty responses, a fraction of a second
/// under load, so that a slow neighbour on the machine shows and a single long request does not.
const MEAN_WEIGHT: f64 = 0.05;

/// Service time that is assumed before the first response.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(100);

/// Weight of a response that took longer than the shortest service time, by which the latter rises: over some hundred
/// responses, so that it stays a time which only few requests fall below.
const SHORTEST_WEIGHT: f64 = 0.01;

/// Factor on the shortest service time for each request that is refused because of it: an estimate that refuses all
/// requests would get no responses to correct it.
const SHORTEST_DECAY: f64 = 0.95;

/// Time over which the arrival rate averages.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(700);

/// Longest time that excess load adds to the retry delay of a refused caller without a schedule: about as long as callers
/// in known deployments have left after a refusal.
const MAX_EXCESS_DELAY: Duration = Duration::from_millis(600);

/// Utilization above which requests that would miss their objective are refused: while they wait or run they would
/// only make others late.
const SATURATED_UTILIZATION: f64 = 0.92;

/// Multiple of the expected time that must fit before the objective, since half of the responses take longer than
/// expected.
const SAFETY_FACTOR: f64 = 1.3;

/// Shortest interval in seconds from which a capacity is computed.
const MIN_INTERVAL: f64 = 1e-6;

/// Added to the rank of a request that would miss its objective, so that late requests have this rank or a higher one.
const LATE_RANK_OFFSET: Rank = 100;

/// A request that is offered for admission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PendingRequest<T> {
    /// Urgency, 0 the most urgent.
    pub rank: Rank,
    /// When the response should arrive; a later one is worth less to the caller.
    pub objective: Moment,
    /// When the response must arrive.
    pub deadline: Moment,
    /// Group of requests that it belongs to, if requests are grouped.
    pub flow: Option<FlowId>,
    /// The request.
    pub item: T,
}

/// Result of [`AdmissionController::offer`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OfferResult<T> {
    /// The request, if it may start at once. It then holds a slot.
    pub started: Option<T>,
    /// Requests that will not run, of which this may be one.
    pub shed: Vec<ShedRequest<T>>,
}

/// Admits requests to one upstream: at most one per slot, within its rate limit while it is cold or names one, the most
/// urgent first, and none that would miss its deadline. Requests that would miss their objective wait
/// behind those that can meet it, or are refused at once while the upstream is saturated.
///
/// This handles overload: more requests than slots, of several ranks. All daemons send requests through
/// the upstream's own daemon. So its count of running requests is exact, and no request waits inside the
/// upstream, which may drop what it cannot queue.
///
/// ```
/// use std::time::Duration;
/// use rattanarch_admission::{AdmissionController, PendingRequest};
///
/// let ms = Duration::from_millis;
/// let (objective, deadline) = (ms(800), ms(1_000));
/// let request = |rank, item| PendingRequest { rank, objective, deadline, flow: None, item };
/// let mut controller = AdmissionController::new(1);
/// assert_eq!(controller.offer(ms(0), request(1, "first")).started, Some("first"));
/// assert_eq!(controller.offer(ms(1), request(2, "second")).started, None);
/// assert_eq!(controller.offer(ms(2), request(0, "urgent")).started, None);
/// controller.finish(Some(ms(50)));
/// assert_eq!(controller.start_next(ms(50)).next, Some("urgent"));
/// assert_eq!(controller.start_next(ms(50)).next, None);
/// ```
#[derive(Debug)]
pub struct AdmissionController<T> {
    slots: u32,
    /// Requests that hold a slot.
    running: u32,
    queue: Queue<T>,
    rate_limiter: RateLimiter,
    /// Rate and concurrency that the state of the upstream allows.
    pace: UpstreamPace,
    /// Mean service time in seconds; 0 before the first response.
    mean: f64,
    /// Time in seconds that nearly all responses exceed; 0 before the first response.
    shortest: f64,
    arrivals: RateMeter,
    /// Whether `shortest`, `schedule` and `work_times` are used.
    has_retry_schedule: bool,
    schedule: RetrySchedule,
    work_times: WorkTimes,
}

impl<T> AdmissionController<T> {
    /// A controller for an upstream with `slots` (at least 1).
    pub fn new(slots: u32) -> Self {
        let slots = slots.max(1);
        let queue = Queue::new(slots as usize * QUEUE_PER_SLOT);
        Self {
            slots,
            running: 0,
            queue,
            rate_limiter: RateLimiter::default(),
            pace: UpstreamPace::fixed(slots),
            mean: 0.0,
            shortest: 0.0,
            arrivals: RateMeter::default(),
            has_retry_schedule: false,
            schedule: RetrySchedule::default(),
            work_times: WorkTimes::default(),
        }
    }

    /// A copy of this controller in which each waiting request is what `copy` returns for it; requests for which it
    /// returns `None` are left out. A request that is offered to the copy shows what would become of it here.
    pub fn copy_with<U>(&self, copy: impl Fn(&T) -> Option<U>) -> AdmissionController<U> {
        AdmissionController {
            slots: self.slots,
            running: self.running,
            queue: self.queue.copy_with(copy),
            rate_limiter: self.rate_limiter.clone(),
            pace: self.pace.clone(),
            mean: self.mean,
            shortest: self.shortest,
            has_retry_schedule: self.has_retry_schedule,
            arrivals: self.arrivals.clone(),
            schedule: self.schedule.clone(),
            work_times: self.work_times.clone(),
        }
    }

    /// Sets the number of slots, which may change when the upstream restarts.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
        self.pace.set_slots(self.slots);
        self.queue.set_capacity(self.slots as usize * QUEUE_PER_SLOT);
    }

    /// Sets whether rate and concurrency follow the upstream's responses; see [`UpstreamPace`]. Off at first.
    pub fn set_adaptive_pace(&mut self, adaptive: bool) {
        self.pace.set_adaptive(adaptive);
    }

    /// Whether rate and concurrency follow the upstream's responses.
    pub fn has_adaptive_pace(&self) -> bool {
        self.pace.is_adaptive()
    }

    /// Sets whether requests are expected to take the mean time of their class, refused callers are told times by a
    /// [`RetrySchedule`], and requests that cannot end before their deadline are refused. Off at first: then the mean of
    /// all requests counts, and callers are told when the queue and the recent excess load are worked off.
    pub fn set_retry_schedule(&mut self, enabled: bool) {
        self.has_retry_schedule = enabled;
        self.arrivals.skip_pauses(enabled);
    }

    /// Records that the process runs at `now`. To be called every 200 ms with the retry schedule: a longer time without a call
    /// is taken as a pause of the process, not as one without arrivals.
    pub fn tick(&mut self, now: Moment) {
        self.arrivals.tick(now);
    }

    /// Records that a new life of the upstream begins at `now`.
    pub fn begin_life(&mut self, now: Moment) {
        self.pace.begin_life();
        self.apply_pace(now);
    }

    /// Limits the upstream, which stays cold for `remaining` from `now` and then takes `rate` requests a second.
    pub fn set_cold(&mut self, now: Moment, remaining: Duration, rate: f64) {
        self.pace.set_cold(now, remaining, rate);
        self.apply_pace(now);
    }

    /// Records the outcome at `now` of a request sent at `sent` that still holds its slot.
    pub fn observe(&mut self, now: Moment, sent: Moment, outcome: AttemptOutcome) {
        self.pace.observe(now, sent, outcome, self.running);
        self.apply_pace(now);
    }

    /// Sets the rate limit that the pace of the upstream has at `now`.
    fn apply_pace(&mut self, now: Moment) {
        self.pace.record_running(now, self.running);
        self.pace.update(now);
        let burst = self.pace.take_burst();
        self.rate_limiter.set_pace(now, self.pace.rate(), burst);
    }

    /// What senders may expect of the upstream after `now`.
    pub fn forecast(&self, now: Moment) -> PaceForecast {
        self.pace.forecast(now)
    }

    /// Whether the upstream may have become cold without notice.
    pub fn suspects_cold(&self) -> bool {
        self.pace.suspects_cold()
    }

    /// Takes the changes of the upstream's state since the last call.
    pub fn take_changes(&mut self) -> Vec<PaceChange> {
        self.pace.take_changes()
    }

    /// Sets the requests a second that the upstream itself takes; `None` without a limit.
    pub fn set_rate_limit(&mut self, now: Moment, limit: Option<f64>) {
        self.rate_limiter.set_limit(now, limit);
    }

    /// Mean time between two requests at the limit that the upstream names, a minute at most; zero without a limit.
    pub fn limit_interval(&self) -> Duration {
        self.rate_limiter.limit_interval()
    }

    /// Whether the limit that the upstream names allows less than its slots.
    pub fn is_rate_limited(&self) -> bool {
        self.limit_interval() > self.slot_interval()
    }

    /// Mean time in which the upstream completes one of many requests: by its slots, or by the limit that it names if
    /// that allows less.
    pub fn time_per_request(&self) -> Duration {
        self.slot_interval().max(self.limit_interval())
    }

    /// Whether the upstream is cold at `now`.
    pub fn is_cold(&self, now: Moment) -> bool {
        self.pace.is_cold(now)
    }

    /// Offers a request: it starts, waits, or is shed.
    pub fn offer(&mut self, now: Moment, request: PendingRequest<T>) -> OfferResult<T> {
        self.arrivals.count(now);
        self.update_throughput(now);
        if self.running > 0 && !self.can_end(now, request.deadline) {
            self.shortest *= SHORTEST_DECAY;
            return OfferResult { started: None, shed: vec![self.refuse(now, request)] };
        }
        if self.queue.ahead(request.rank) == 0
            && self.running < self.pace.concurrency()
            && self.rate_limiter.try_acquire(now)
        {
            self.running += 1;
            self.queue.count_start(now, request.flow);
            return OfferResult { started: Some(request.item), shed: Vec::new() };
        }
        let wait = self.queue.wait_of_flow(now, request.rank, request.flow);
        let PendingRequest { rank, objective, deadline, .. } = request;
        let class = WorkClass::new(rank, objective, deadline);
        let class_mean = self.work_times.mean(now, class).filter(|_| self.has_retry_schedule);
        let work = class_mean.unwrap_or_else(|| self.mean_service_time());
        let expected = wait + work;
        let late = now + expected.mul_f64(SAFETY_FACTOR) > request.objective;
        let rank = if late { request.rank.saturating_add(LATE_RANK_OFFSET) } else { request.rank };
        let PendingRequest { flow, deadline, item, .. } = request;
        let mut shed = self.queue.push_to_flow(now, rank, flow, deadline, item);
        if self.utilization() > SATURATED_UTILIZATION {
            shed.extend(self.queue.shed_from(LATE_RANK_OFFSET));
        }
        OfferResult { started: None, shed: self.schedule_retries(now, shed) }
    }

    /// Whether work that starts at `now` may end before `deadline`. An upstream takes at least the shortest service
    /// time seen lately, as far as responses are known. Not checked without the retry schedule.
    pub fn can_end(&self, now: Moment, deadline: Moment) -> bool {
        !self.has_retry_schedule || now + Duration::from_secs_f64(self.shortest) < deadline
    }

    /// Refuses a request that was not queued.
    fn refuse(&mut self, now: Moment, request: PendingRequest<T>) -> ShedRequest<T> {
        let PendingRequest { deadline, item, .. } = request;
        let retry_after = self.retry_after(now, deadline);
        ShedRequest { item, deadline, retry_after }
    }

    /// Tells each refused caller when to return, by the schedule or by the delay that the queue has told it.
    fn schedule_retries(
        &mut self,
        now: Moment,
        mut shed: Vec<ShedRequest<T>>,
    ) -> Vec<ShedRequest<T>> {
        if shed.is_empty() {
            return shed;
        }
        if !self.has_retry_schedule {
            return self.add_excess_delay(shed);
        }
        for shed in &mut shed {
            shed.retry_after = self.retry_after(now, shed.deadline);
        }
        shed
    }

    /// Adds to the retry delays of refused callers the time in which the slots could work off the recent excess load.
    /// Under lasting overload, the queue is just as full again once the requests in it have run: callers that retry
    /// then would be refused again.
    fn add_excess_delay(&self, mut shed: Vec<ShedRequest<T>>) -> Vec<ShedRequest<T>> {
        let excess = (self.utilization() - 1.0).max(0.0);
        let delay = ARRIVAL_WINDOW.mul_f64(excess).min(MAX_EXCESS_DELAY);
        shed.iter_mut().for_each(|shed| shed.retry_after += delay);
        shed
    }

    /// Reserves a turn for a caller that is refused at `now`. One whose work could not end after it returns is told all
    /// the time that it has left.
    fn retry_after(&mut self, now: Moment, deadline: Moment) -> Duration {
        let left = deadline.saturating_sub(now);
        let backlog = self.queue.retry_after();
        if !self.can_end(now + backlog, deadline) {
            return left.max(backlog);
        }
        let demand = RetryDemand {
            capacity: 1.0 / self.start_interval().as_secs_f64().max(MIN_INTERVAL),
            arrivals: self.arrivals.rate(),
            backlog,
        };
        self.schedule.reserve(now, demand, left)
    }

    /// Mean time between two starts of many requests, by the slots and the rate limit.
    fn start_interval(&self) -> Duration {
        self.slot_interval().max(self.rate_limiter.interval())
    }

    /// Arriving load as a ratio of the capacity of the upstream; more than 1 under overload.
    fn utilization(&self) -> f64 {
        self.arrivals.rate() * self.start_interval().as_secs_f64()
    }

    /// Starts the next waiting request, if there is a free slot and the rate limit of the upstream allows it. To
    /// be called after [`AdmissionController::finish`] and at [`AdmissionController::next_start`], until it
    /// returns no request.
    pub fn start_next(&mut self, now: Moment) -> PopResult<T> {
        self.update_throughput(now);
        if self.queue.is_empty()
            || self.running >= self.pace.concurrency()
            || !self.rate_limiter.try_acquire(now)
        {
            let shed = self.queue.expire(now);
            return PopResult { next: None, shed: self.schedule_retries(now, shed) };
        }
        let PopResult { next, shed } = self.queue.pop(now);
        if next.is_some() {
            self.running += 1;
        } else {
            self.rate_limiter.put_back();
        }
        PopResult { next, shed: self.schedule_retries(now, shed) }
    }

    /// As [`AdmissionController::finish`] at `now`, for a request of `class`.
    pub fn finish_class(&mut self, now: Moment, class: WorkClass, service_time: Option<Duration>) {
        self.finish(service_time);
        if let Some(time) = service_time {
            self.work_times.record(now, class, time);
        }
    }

    /// Frees a slot. `service_time` is `None` for a request without a response.
    pub fn finish(&mut self, service_time: Option<Duration>) {
        self.running = self.running.saturating_sub(1);
        let Some(seconds) = service_time.map(|time| time.as_secs_f64()) else { return };
        let weight = if self.mean == 0.0 { 1.0 } else { MEAN_WEIGHT };
        self.mean += (seconds - self.mean) * weight;
        let above = seconds - self.shortest;
        let rises = above > 0.0 && self.shortest > 0.0;
        self.shortest += if rises { above * SHORTEST_WEIGHT } else { above };
    }

    /// When [`AdmissionController::start_next`] is to be called although no slot becomes free, because requests
    /// wait for the rate limit of the upstream.
    pub fn next_start(&self) -> Option<Moment> {
        let rate_limited = !self.queue.is_empty() && self.running < self.pace.concurrency();
        self.rate_limiter.next_permit().filter(|_| rate_limited)
    }

    /// Drops waiting requests for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&T) -> bool) {
        self.queue.retain(keep);
    }

    /// Number of requests that hold a slot.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Number of slots of the upstream.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Mean service time; an assumed value before the first response.
    pub fn mean_service_time(&self) -> Duration {
        if self.mean == 0.0 { INITIAL_SERVICE_TIME } else { Duration::from_secs_f64(self.mean) }
    }

    /// Mean time in which the slots complete one of many requests.
    fn slot_interval(&self) -> Duration {
        self.mean_service_time() / self.slots
    }

    /// Updates the throughput of the queue.
    fn update_throughput(&mut self, now: Moment) {
        self.apply_pace(now);
        let service_time = self.mean_service_time();
        let concurrency = self.pace.concurrency();
        self.queue.set_throughput(Throughput { concurrency, service_time });
        self.queue.set_start_interval(self.rate_limiter.interval());
    }
}
