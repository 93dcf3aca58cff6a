//! A service that cannot serve all of its requests in time, with the retry schedule and with the rule of commit dda2199,
//! which is the rule without it.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_core::Rng;
use rand_core::SeedableRng;
use rattanarch_admission::AdmissionController;
use rattanarch_admission::OfferResult;
use rattanarch_admission::PendingRequest;
use rattanarch_admission::PopResult;
use rattanarch_admission::ShedRequest;
use rattanarch_admission::WorkClass;
use rattanarch_types::FlowId;
use rattanarch_types::Moment;
use rattanarch_types::Rank;

const UPSTREAMS: usize = 10;
const SLOTS: u32 = 6;
const SECONDS: u64 = 90;
/// Requests in progress on average outside of bursts.
const CONCURRENCY: f64 = 38.0;
/// Time from a daemon to a caller, and back.
const ROUND_TRIP_MS: u64 = 4;
/// Jitter that a daemon adds to a delay by the rule of dda2199.
const FORMER_JITTER: f64 = 0.4;

/// Rank, objective, deadline and mean work in milliseconds of the routes.
const ROUTES: [(Rank, u64, u64, u64); 5] = [
    (0, 120, 400, 40),
    (0, 500, 1_200, 80),
    (1, 300, 900, 80),
    (1, 600, 1_500, 120),
    (2, 1_000, 2_000, 160),
];

#[derive(Clone, Copy, Debug)]
struct Request {
    arrived: u64,
    route: usize,
    upstream: usize,
    work_ms: u64,
    flow: Option<FlowId>,
    attempts: u32,
}

trait Rule {
    /// Jitter of the delays that callers are told.
    const JITTER: f64;
    fn offer(&mut self, now: Moment, request: PendingRequest<Request>) -> OfferResult<Request>;
    fn start_next(&mut self, now: Moment) -> PopResult<Request>;
    fn finish(&mut self, now: Moment, class: WorkClass, service_time: Duration);
}

impl Rule for AdmissionController<Request> {
    const JITTER: f64 = 0.0;
    fn offer(&mut self, now: Moment, request: PendingRequest<Request>) -> OfferResult<Request> {
        self.offer(now, request)
    }
    fn start_next(&mut self, now: Moment) -> PopResult<Request> {
        self.start_next(now)
    }
    fn finish(&mut self, now: Moment, class: WorkClass, service_time: Duration) {
        self.finish_class(now, class, Some(service_time));
    }
}

/// The present rule without the retry schedule.
struct Unscheduled(AdmissionController<Request>);

impl Rule for Unscheduled {
    const JITTER: f64 = FORMER_JITTER;
    fn offer(&mut self, now: Moment, request: PendingRequest<Request>) -> OfferResult<Request> {
        self.0.offer(now, request)
    }
    fn start_next(&mut self, now: Moment) -> PopResult<Request> {
        self.0.start_next(now)
    }
    fn finish(&mut self, now: Moment, class: WorkClass, service_time: Duration) {
        self.0.finish_class(now, class, Some(service_time));
    }
}

/// A controller with the retry schedule.
fn scheduled() -> AdmissionController<Request> {
    let mut controller = AdmissionController::new(SLOTS);
    controller.set_retry_schedule(true);
    controller
}

/// The rule of commit dda2199 for a warm upstream without a limit of its own.
#[derive(Default)]
struct FormerRule {
    running: u32,
    by_rank: BTreeMap<Rank, VecDeque<(Request, Moment, Moment)>>,
    mean: f64,
    rate: f64,
    count: u32,
    since: Moment,
}

impl FormerRule {
    fn service_time(&self) -> Duration {
        Duration::from_secs_f64(if self.mean == 0.0 { 0.1 } else { self.mean })
    }

    fn time_for(&self, count: usize) -> Duration {
        self.service_time().mul_f64(count as f64 / f64::from(SLOTS))
    }

    fn waiting(&self) -> usize {
        self.by_rank.values().map(VecDeque::len).sum()
    }

    fn utilization(&self) -> f64 {
        self.rate * self.time_for(1).as_secs_f64()
    }

    fn count(&mut self, now: Moment) {
        let elapsed = now - self.since;
        if elapsed >= Duration::from_millis(250) {
            self.rate += (f64::from(self.count) / elapsed.as_secs_f64() - self.rate) * 0.35;
            self.count = 0;
            self.since = now;
        }
        self.count += 1;
    }

    /// Time until the waiting requests have run, and the excess load is worked off.
    fn retry_after(&self) -> Duration {
        let excess = (self.utilization() - 1.0).max(0.0);
        let delay = Duration::from_millis(700).mul_f64(excess).min(Duration::from_millis(600));
        self.time_for(self.waiting() + 1).max(Duration::from_millis(20)) + delay
    }

    fn expire(&mut self, now: Moment, mut ahead: usize) -> Vec<ShedRequest<Request>> {
        let mut shed = Vec::new();
        for (rank, requests) in std::mem::take(&mut self.by_rank) {
            for entry in requests {
                let response_at = now + self.time_for(ahead) + self.service_time();
                if response_at < entry.1 && (ahead == 0 || now < entry.2) {
                    self.by_rank.entry(rank).or_default().push_back(entry);
                    ahead += 1;
                } else {
                    shed.push((entry.0, entry.1));
                }
            }
        }
        Self::shed(shed, self.retry_after())
    }

    fn shed(requests: Vec<(Request, Moment)>, retry_after: Duration) -> Vec<ShedRequest<Request>> {
        let shed = |(item, deadline)| ShedRequest { item, deadline, retry_after };
        requests.into_iter().map(shed).collect()
    }
}

impl Rule for FormerRule {
    const JITTER: f64 = FORMER_JITTER;

    fn offer(&mut self, now: Moment, request: PendingRequest<Request>) -> OfferResult<Request> {
        self.count(now);
        let PendingRequest { rank, objective, deadline, item, .. } = request;
        let ahead: usize = self.by_rank.range(..=rank).map(|(_, requests)| requests.len()).sum();
        if ahead == 0 && self.running < SLOTS {
            self.running += 1;
            return OfferResult { started: Some(item), shed: Vec::new() };
        }
        let expected = self.time_for(ahead + 1) + self.service_time();
        let late = now + expected.mul_f64(1.3) > objective;
        let rank = if late { rank.saturating_add(100) } else { rank };
        let wait_until = now + (deadline - now).mul_f64(0.5);
        self.by_rank.entry(rank).or_default().push_back((item, deadline, wait_until));
        let mut shed = self.expire(now, 1);
        if self.waiting() > SLOTS as usize * 4 {
            let retry_after = self.retry_after();
            let mut last = self.by_rank.last_entry().expect("the queue is full");
            let newest = last.get_mut().pop_back().map(|entry| (entry.0, entry.1));
            shed.extend(Self::shed(newest.into_iter().collect(), retry_after));
            self.by_rank.retain(|_, requests| !requests.is_empty());
        }
        if self.utilization() > 0.92 {
            let retry_after = self.retry_after();
            let late = self.by_rank.split_off(&100).into_values().flatten();
            let late = late.map(|entry| (entry.0, entry.1)).collect();
            shed.extend(Self::shed(late, retry_after));
        }
        OfferResult { started: None, shed }
    }

    fn start_next(&mut self, now: Moment) -> PopResult<Request> {
        let free = self.running < SLOTS;
        let shed = self.expire(now, usize::from(!free));
        let mut next = None;
        if free && let Some(mut first) = self.by_rank.first_entry() {
            next = first.get_mut().pop_front().map(|entry| entry.0);
            self.running += 1;
        }
        self.by_rank.retain(|_, requests| !requests.is_empty());
        PopResult { next, shed }
    }

    fn finish(&mut self, _now: Moment, _class: WorkClass, service_time: Duration) {
        self.running -= 1;
        let weight = if self.mean == 0.0 { 1.0 } else { 0.05 };
        self.mean += (service_time.as_secs_f64() - self.mean) * weight;
    }
}

/// What callers got.
#[derive(Clone, Debug, Default, PartialEq)]
struct Counts {
    offered: u32,
    /// Served within the objective.
    in_time: u32,
    /// Served within the deadline.
    served: u32,
    refused_twice: u32,
    attempts: u32,
    /// Served in time, by rank.
    ranks: [u32; 3],
    /// Offered and served in time, by second of arrival.
    seconds: Vec<(u32, u32)>,
    /// Offered and served in time, by flow.
    flows: BTreeMap<FlowId, (u32, u32)>,
}

impl Counts {
    /// Least percentage of the requests of one second that were served in time.
    fn worst_second(&self) -> f64 {
        let share =
            |(offered, in_time): &(u32, u32)| f64::from(*in_time) * 100.0 / f64::from(*offered);
        self.seconds.iter().map(share).fold(100.0, f64::min)
    }

    fn summary(&self) -> String {
        let Self { offered, in_time, ranks, served, refused_twice, attempts, .. } = self;
        let worst = self.worst_second();
        format!(
            "{offered} offered, {in_time} in time ({ranks:?} by rank), {served} served, {refused_twice} refused twice, \
             {attempts} attempts, worst second {worst:.1} %"
        )
    }

    fn flow_percent(&self, flow: FlowId) -> f64 {
        let (offered, in_time) = self.flows[&flow];
        f64::from(in_time) * 100.0 / f64::from(offered)
    }
}

/// Random numbers of one purpose, so that the load is the same for each rule.
fn random(rng: &mut ChaCha8Rng) -> f64 {
    f64::from(rng.next_u32()) / 4_294_967_296.0
}

/// The requests of a day: with bursts, or of `flows` that each send the same number, but the first `excess` times it.
/// With `uniform`, the work of all routes has the same mean.
fn load(seed: u64, uniform: bool, flows: u64, excess: u64) -> Vec<Request> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mean_work: u64 = ROUTES.iter().map(|route| route.3).sum::<u64>() / ROUTES.len() as u64;
    let per_ms = CONCURRENCY / mean_work as f64;
    let (mut requests, mut burst) = (Vec::new(), (5_000, 0, 1.0));
    for ms in 0..SECONDS * 1_000 {
        if ms >= burst.0 + burst.1 {
            let start = ms + 4_000 + (random(&mut rng) * 8_000.0) as u64;
            let length = 3_000 + (random(&mut rng) * 3_000.0) as u64;
            burst = (start, length, 1.5 + random(&mut rng));
        }
        let factor = if flows == 0 && ms >= burst.0 { burst.2 } else { 1.0 };
        let more = if flows == 0 { 1.0 } else { (flows + excess - 1) as f64 / flows as f64 };
        let mut due = per_ms * factor * more;
        while random(&mut rng) < due {
            due -= 1.0;
            let route = (random(&mut rng) * ROUTES.len() as f64) as usize;
            let base = if uniform { mean_work } else { ROUTES[route].3 };
            let work_ms = (base as f64 * (0.5 + random(&mut rng))) as u64;
            let upstream = (random(&mut rng) * UPSTREAMS as f64) as usize;
            let draw = (random(&mut rng) * (flows + excess).saturating_sub(1) as f64) as u64;
            let flow = (flows > 0).then(|| draw.saturating_sub(excess.saturating_sub(1)));
            let attempts = 0;
            requests.push(Request { arrived: ms, route, upstream, work_ms, flow, attempts });
        }
    }
    requests
}

/// Plays `load` on a service whose upstreams follow `rules`.
fn play<R: Rule>(load: &[Request], mut rules: Vec<R>) -> Counts {
    let mut counts = Counts { seconds: vec![(0, 0); SECONDS as usize], ..Counts::default() };
    let mut jitter = ChaCha8Rng::seed_from_u64(99);
    let mut arrivals: BTreeMap<u64, Vec<Request>> = BTreeMap::new();
    for request in load {
        arrivals.entry(request.arrived).or_default().push(*request);
        counts.offered += 1;
        counts.seconds[(request.arrived / 1_000) as usize].0 += 1;
        if let Some(flow) = request.flow {
            counts.flows.entry(flow).or_default().0 += 1;
        }
    }
    let mut ends: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
    let mut running: Vec<Request> = Vec::new();
    for ms in 0..SECONDS * 1_000 + 3_000 {
        let now = Duration::from_millis(ms);
        let (mut started, mut shed) = (Vec::new(), Vec::new());
        while ends.peek().is_some_and(|end| end.0.0 <= ms) {
            let Some(Reverse((_, index))) = ends.pop() else { break };
            let request = running[index];
            let rule = &mut rules[request.upstream];
            let (rank, objective, deadline, _) = ROUTES[request.route];
            let class = WorkClass::new(
                rank,
                Duration::from_millis(objective),
                Duration::from_millis(deadline),
            );
            rule.finish(now, class, Duration::from_millis(request.work_ms));
            loop {
                let popped = rule.start_next(now);
                shed.extend(popped.shed);
                let Some(next) = popped.next else { break };
                started.push(next);
            }
            let in_time = u32::from(ms <= request.arrived + objective);
            counts.in_time += in_time;
            counts.ranks[usize::from(rank)] += in_time;
            counts.served += u32::from(ms <= request.arrived + deadline);
            counts.seconds[(request.arrived / 1_000) as usize].1 += in_time;
            if let Some(flow) = request.flow {
                counts.flows.entry(flow).or_default().1 += in_time;
            }
        }
        for mut item in arrivals.remove(&ms).unwrap_or_default() {
            counts.attempts += 1;
            item.attempts += 1;
            let (rank, objective, deadline, _) = ROUTES[item.route];
            let pending = PendingRequest {
                rank,
                objective: Duration::from_millis(item.arrived + objective),
                deadline: Duration::from_millis(item.arrived + deadline),
                flow: item.flow,
                item,
            };
            let offered = rules[item.upstream].offer(now, pending);
            started.extend(offered.started);
            shed.extend(offered.shed);
        }
        for request in started {
            ends.push(Reverse((ms + request.work_ms, running.len())));
            running.push(request);
        }
        for ShedRequest { item, deadline, retry_after } in shed {
            if item.attempts > 1 {
                counts.refused_twice += 1;
                continue;
            }
            let told = retry_after.mul_f64(1.0 + R::JITTER * random(&mut jitter));
            let delay = told.min(deadline.saturating_sub(now) / 3).as_millis() as u64;
            arrivals.entry(ms + delay.max(1) + ROUND_TRIP_MS).or_default().push(item);
        }
    }
    counts
}

/// The present rule and the one of dda2199 on the same days.
fn play_both(uniform: bool) -> [Counts; 2] {
    let mut sums = [Counts::default(), Counts::default()];
    for seed in 1..=4 {
        let load = load(seed, uniform, 0, 0);
        let present = (0..UPSTREAMS).map(|_| scheduled()).collect();
        let former = (0..UPSTREAMS).map(|_| FormerRule::default()).collect();
        let days = [
            play::<AdmissionController<Request>>(&load, present),
            play::<FormerRule>(&load, former),
        ];
        for (sum, day) in sums.iter_mut().zip(days) {
            sum.offered += day.offered;
            sum.in_time += day.in_time;
            sum.served += day.served;
            sum.refused_twice += day.refused_twice;
            sum.attempts += day.attempts;
            sum.seconds.extend(day.seconds);
            sum.ranks.iter_mut().zip(day.ranks).for_each(|(sum, rank)| *sum += rank);
        }
    }
    sums
}

/// Guards against cheap requests with short objectives that are refused because of the work of others: in bursts, no
/// fewer are served in time than by the rule of dda2199, fewer are refused twice, and the worst second is better.
#[test]
fn bursts_of_mixed_work() {
    let [present, former] = play_both(false);
    let seen = format!("present {}, former {}", present.summary(), former.summary());
    assert!(present.in_time >= former.in_time, "{seen}");
    assert!(present.served >= former.served, "{seen}");
    assert!(present.attempts <= former.attempts, "{seen}");
    assert!(present.refused_twice * 4 <= former.refused_twice * 3, "{seen}");
    assert!(present.worst_second() >= former.worst_second() + 5.0, "{seen}");
}

/// Guards against callers that lose by the rules for mixed work and for returns where all work is alike.
#[test]
fn bursts_of_uniform_work() {
    let [present, former] = play_both(true);
    let seen = format!("present {}, former {}", present.summary(), former.summary());
    assert!(present.in_time >= former.in_time, "{seen}");
    assert!(present.served >= former.served, "{seen}");
    assert!(present.attempts <= former.attempts, "{seen}");
    assert!(present.refused_twice <= former.refused_twice, "{seen}");
    assert!(present.worst_second() >= former.worst_second(), "{seen}");
}

/// Shares of requests served in time by flow, in percent, if the first sends its usual number and `excess` times it.
fn play_flows(routes: Option<[usize; 2]>, excess: u64) -> Vec<(f64, f64)> {
    const FLOWS: u64 = 5;
    let [usual, excess] = [1, excess].map(|excess| {
        let mut load = load(1, false, FLOWS, excess);
        if let Some(routes) = routes {
            load.iter_mut().for_each(|request| request.route = routes[request.route % 2]);
        }
        let rules = (0..UPSTREAMS).map(|_| scheduled()).collect();
        play::<AdmissionController<Request>>(&load, rules)
    });
    let shares = (0..FLOWS).map(|flow| (usual.flow_percent(flow), excess.flow_percent(flow)));
    let shares: Vec<_> = shares.collect();
    shares
}

/// Guards against one flow that takes the slots of others of its rank: while it sends five times its usual, the others
/// are served as before.
#[test]
fn excess_in_rank() {
    let shares = play_flows(Some([2, 3]), 5);
    assert!(shares[0].1 < 90.0, "no excess: {shares:?}");
    assert!(shares[1..].iter().all(|(usual, excess)| excess + 2.0 >= *usual), "{shares:?}");
}

/// Guards against the same with all ranks, where urgent requests of the flow in excess precede those of other ranks.
#[test]
fn excess_in_all_ranks() {
    let shares = play_flows(None, 5);
    assert!(shares[1..].iter().all(|(usual, excess)| excess + 4.0 >= *usual), "{shares:?}");
}

/// Guards against rules of the retry schedule that hold without its setting: every caller gets what it got by the rule of
/// dda2199, at the same time.
#[test]
fn unscheduled_as_before() {
    for (uniform, seed) in [(false, 1), (true, 2), (false, 3)] {
        let load = load(seed, uniform, 0, 0);
        let rules = || (0..UPSTREAMS).map(|_| AdmissionController::new(SLOTS)).map(Unscheduled);
        let present = play::<Unscheduled>(&load, rules().collect());
        let former =
            play::<FormerRule>(&load, (0..UPSTREAMS).map(|_| FormerRule::default()).collect());
        assert!(present.refused_twice > 0, "no overload");
        assert!(present == former, "present {}, former {}", present.summary(), former.summary());
    }
}
