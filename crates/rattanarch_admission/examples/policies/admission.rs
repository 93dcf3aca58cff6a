//! One upstream with different admission policies.

use std::collections::VecDeque;
use std::time::Duration;

use rattanarch_admission::AttemptOutcome;
use rattanarch_admission::ConcurrencyLimiter;
use rattanarch_admission::Queue;
use rattanarch_admission::RetryBudget;
use rattanarch_admission::Throughput;
use rattanarch_types::Priority;

use crate::event_queue::EventQueue;
use crate::random::RandomSource;
use crate::table::Table;
use crate::table::percent;
use crate::table::quantile;
use crate::upstream::SLOTS;
use crate::upstream::Upstream;

/// Waiting requests per slot, in a bounded queue.
const QUEUE_PER_SLOT: usize = 2;
/// Retries of a request, where retries are allowed.
const MAX_RETRIES: u32 = 3;

#[derive(Clone, Copy, PartialEq)]
enum Limit {
    None,
    Slots,
    Adaptive,
}

#[derive(Clone, Copy, PartialEq)]
enum Order {
    Fifo,
    ByDeadline,
}

#[derive(Clone, Copy, PartialEq)]
enum Retries {
    None,
    Unbudgeted,
    Budget,
}

#[derive(Clone, Copy)]
struct Variant {
    name: &'static str,
    limit: Limit,
    order: Order,
    retries: Retries,
}

/// Load and faults of a simulation.
#[derive(Clone, Copy)]
struct Scenario {
    /// Requests a second.
    rate: f64,
    duration: Duration,
    timeout: Duration,
    /// One in this many requests is deferrable, with five times the timeout; 0 for none.
    deferrable: usize,
    starts_warm: bool,
    /// When the upstream becomes cold.
    cold_at: Option<Duration>,
    slow_from: Duration,
    slow_until: Duration,
    slow_factor: f64,
}

#[derive(Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    BecomeCold,
    End(usize),
    TimeOut(usize),
}

struct Request {
    arrived: Duration,
    priority: Priority,
    retries: u32,
    /// Latency; `None` without a response in time.
    latency: Option<Duration>,
    shed: bool,
}

struct Attempt {
    request: usize,
    sent: Duration,
    /// Whether it ended, was shed or timed out.
    ended: bool,
}

struct Simulation {
    variant: Variant,
    scenario: Scenario,
    random: RandomSource,
    events: EventQueue<Event>,
    upstream: Upstream,
    limiter: ConcurrencyLimiter,
    running: u32,
    fifo: VecDeque<usize>,
    queue: Queue<usize>,
    service: RetryBudget,
    budget: RetryBudget,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
}

const BASELINE: Variant =
    Variant { name: "no limit", limit: Limit::None, order: Order::Fifo, retries: Retries::None };
const BASE_SCENARIO: Scenario = Scenario {
    rate: 2_000.0,
    duration: Duration::from_secs(20),
    timeout: Duration::from_millis(100),
    deferrable: 0,
    starts_warm: true,
    cold_at: None,
    slow_from: Duration::ZERO,
    slow_until: Duration::ZERO,
    slow_factor: 1.0,
};

/// Compares admission policies for an upstream that is cold at the start and again halfway.
pub(crate) fn compare_cold(seed: u64) -> Table {
    let title =
        "Cold: 1 upstream at 40% that starts cold and becomes cold again at 10 s, unannounced";
    let columns = ["admission", "in time", "shed", "late", "p99 ms", "collapses"];
    let cold_at = Some(Duration::from_secs(10));
    let timeout = Duration::from_millis(250);
    let scenario = Scenario { starts_warm: false, cold_at, timeout, ..BASE_SCENARIO };
    let mut table = Table::new(title, &columns);
    for variant in admissions() {
        let simulation = Simulation::new(variant, scenario, seed).run();
        table.push(simulation.row(None, simulation.upstream.collapses.to_string()));
    }
    table
}

/// Compares retry policies for an upstream that is slow for two seconds.
pub(crate) fn compare_storm(seed: u64) -> Table {
    let title = "Retry storm: 1 upstream at 80%, 4 times slower from 5 s to 7 s; timeout 100 ms";
    let columns = ["retries", "in time", "shed", "late", "p99 ms", "attempts", "recovery"];
    let scenario = Scenario {
        rate: 4_000.0,
        slow_from: Duration::from_secs(5),
        slow_until: Duration::from_secs(7),
        slow_factor: 4.0,
        ..BASE_SCENARIO
    };
    let mut table = Table::new(title, &columns);
    let adaptive = Variant { limit: Limit::Adaptive, order: Order::ByDeadline, ..BASELINE };
    let budgeted = Variant { retries: Retries::Budget, ..adaptive };
    for variant in [
        Variant { name: "none", ..BASELINE },
        Variant { name: "three each", retries: Retries::Unbudgeted, ..BASELINE },
        Variant { name: "budget", retries: Retries::Budget, ..BASELINE },
        Variant { name: "budget, slots, queue", limit: Limit::Slots, ..budgeted },
        Variant { name: "three, limiter, queue", retries: Retries::Unbudgeted, ..adaptive },
        Variant { name: "budget, limiter, queue", ..budgeted },
    ] {
        let simulation = Simulation::new(variant, scenario, seed).run();
        let attempts = simulation.attempts.len() as f64 / simulation.requests.len() as f64;
        let mut row = simulation.row(None, format!("{attempts:.2}"));
        row.push(simulation.recovery_time());
        table.push(row);
    }
    table
}

/// Compares admission policies under more load than the upstream can serve, half of it deferrable.
pub(crate) fn compare_overload(seed: u64) -> Table {
    let title =
        "Overload: 1 warm upstream at 130%, half of it deferrable with 500 ms; urgent 100 ms";
    let columns = ["admission, priority", "in time", "shed", "late", "p99 ms", "requests"];
    let scenario = Scenario { rate: 6_500.0, deferrable: 2, ..BASE_SCENARIO };
    let mut table = Table::new(title, &columns);
    for variant in admissions() {
        let simulation = Simulation::new(variant, scenario, seed).run();
        for priority in [Priority::Urgent, Priority::Deferrable] {
            let count = simulation.requests_of(Some(priority)).count();
            let mut row = simulation.row(Some(priority), count.to_string());
            row[0] = format!("{}, {priority:?}", row[0]);
            table.push(row);
        }
    }
    table
}

fn admissions() -> [Variant; 4] {
    let queued = Variant { order: Order::ByDeadline, ..BASELINE };
    [
        BASELINE,
        Variant { name: "slots", limit: Limit::Slots, ..BASELINE },
        Variant { name: "slots, queue", limit: Limit::Slots, ..queued },
        Variant { name: "limiter, queue", limit: Limit::Adaptive, ..queued },
    ]
}

impl Simulation {
    fn new(variant: Variant, scenario: Scenario, seed: u64) -> Self {
        Self {
            variant,
            scenario,
            random: RandomSource::new(seed),
            events: EventQueue::new(),
            upstream: Upstream::new(scenario.starts_warm),
            limiter: ConcurrencyLimiter::new(SLOTS),
            running: 0,
            fifo: VecDeque::new(),
            queue: Queue::new(usize::from(SLOTS) * QUEUE_PER_SLOT),
            service: RetryBudget::default(),
            budget: RetryBudget::default(),
            requests: Vec::new(),
            attempts: Vec::new(),
        }
    }

    fn run(mut self) -> Self {
        self.events.schedule(Duration::ZERO, Event::Arrive);
        if let Some(time) = self.scenario.cold_at {
            self.events.schedule(time, Event::BecomeCold);
        }
        while let Some(event) = self.events.next() {
            match event {
                Event::Arrive => self.arrive(),
                Event::BecomeCold => self.upstream.make_cold(),
                Event::End(attempt) => self.end(attempt),
                Event::TimeOut(attempt) => self.time_out(attempt),
            }
        }
        self
    }

    fn arrive(&mut self) {
        let arrived = self.events.now();
        if arrived >= self.scenario.duration {
            return;
        }
        let interval = self.random.exponential(Duration::from_secs_f64(1.0 / self.scenario.rate));
        self.events.schedule(interval, Event::Arrive);
        let request = self.requests.len();
        let is_deferrable = request.checked_rem(self.scenario.deferrable) == Some(0);
        let priority = if is_deferrable { Priority::Deferrable } else { Priority::Urgent };
        self.requests.push(Request { arrived, priority, retries: 0, latency: None, shed: false });
        self.service.deposit();
        self.budget.deposit();
        self.attempt(request);
    }

    fn attempt(&mut self, request: usize) {
        let now = self.events.now();
        let attempt = self.attempts.len();
        let priority = self.requests[request].priority;
        let timeout_factor = if priority == Priority::Deferrable { 5 } else { 1 };
        let deadline = now + self.scenario.timeout * timeout_factor;
        self.attempts.push(Attempt { request, sent: now, ended: false });
        self.events.schedule(deadline - now, Event::TimeOut(attempt));
        if self.running < self.limit() {
            self.start(attempt);
        } else if self.variant.order == Order::Fifo {
            self.fifo.push_back(attempt);
        } else {
            self.queue.set_throughput(Throughput {
                concurrency: self.limit(),
                service_time: self.limiter.mean_service_time(),
            });
            let shed = self.queue.push(now, priority, deadline, attempt);
            self.shed(shed.into_iter().map(|shed| shed.item).collect());
        }
    }

    fn limit(&self) -> u32 {
        match self.variant.limit {
            Limit::None => u32::MAX,
            Limit::Slots => u32::from(SLOTS),
            Limit::Adaptive => self.limiter.limit(),
        }
    }

    fn start(&mut self, attempt: usize) {
        let now = self.events.now();
        self.running += 1;
        self.attempts[attempt].sent = now;
        if let Some(time) = self.upstream.accept(now, attempt, &mut self.random) {
            self.schedule_end(attempt, time);
        }
    }

    fn schedule_end(&mut self, attempt: usize, time: Duration) {
        let now = self.events.now();
        let slow = now >= self.scenario.slow_from && now < self.scenario.slow_until;
        let time = if slow { time.mul_f64(self.scenario.slow_factor) } else { time };
        self.events.schedule(time, Event::End(attempt));
    }

    fn end(&mut self, attempt: usize) {
        let now = self.events.now();
        let time = now - self.attempts[attempt].sent;
        self.limiter.observe(now, AttemptOutcome::Responded(time), self.running);
        self.running -= 1;
        self.respond(attempt);
        if let Some((next, time)) = self.upstream.end(now, &mut self.random) {
            self.schedule_end(next, time);
        }
        while self.running < self.limit() {
            let Some(next) = self.next() else { break };
            self.start(next);
        }
    }

    /// Records the response, unless the attempt has timed out.
    fn respond(&mut self, attempt: usize) {
        let Attempt { request, ended, .. } = self.attempts[attempt];
        self.attempts[attempt].ended = true;
        let request = &mut self.requests[request];
        if !ended && request.latency.is_none() {
            request.latency = Some(self.events.now() - request.arrived);
        }
    }

    fn next(&mut self) -> Option<usize> {
        if self.variant.order == Order::Fifo {
            return self.fifo.pop_front();
        }
        self.queue.set_throughput(Throughput {
            concurrency: self.limit(),
            service_time: self.limiter.mean_service_time(),
        });
        let popped = self.queue.pop(self.events.now());
        self.shed(popped.shed.into_iter().map(|shed| shed.item).collect());
        popped.next
    }

    fn shed(&mut self, attempts: Vec<usize>) {
        for attempt in attempts {
            self.attempts[attempt].ended = true;
            let request = self.attempts[attempt].request;
            self.requests[request].shed = true;
            self.retry(request);
        }
    }

    fn time_out(&mut self, attempt: usize) {
        if self.attempts[attempt].ended {
            return;
        }
        self.attempts[attempt].ended = true;
        self.retry(self.attempts[attempt].request);
    }

    fn retry(&mut self, request: usize) {
        let allowed = match self.variant.retries {
            Retries::None => false,
            Retries::Unbudgeted => true,
            Retries::Budget => RetryBudget::try_withdraw(&mut self.service, &mut self.budget),
        };
        if allowed && self.requests[request].retries < MAX_RETRIES {
            self.requests[request].retries += 1;
            self.attempt(request);
        }
    }

    fn requests_of(&self, priority: Option<Priority>) -> impl Iterator<Item = &Request> {
        let matches =
            move |request: &&Request| priority.is_none_or(|priority| request.priority == priority);
        self.requests.iter().filter(matches)
    }

    fn row(&self, priority: Option<Priority>, last: String) -> Vec<String> {
        let count = self.requests_of(priority).count();
        let mut latencies: Vec<_> =
            self.requests_of(priority).filter_map(|request| request.latency).collect();
        let failed = |shed: bool| {
            self.requests_of(priority)
                .filter(|request| request.latency.is_none() && request.shed == shed)
                .count()
        };
        vec![
            self.variant.name.to_owned(),
            percent(latencies.len(), count),
            percent(failed(true), count),
            percent(failed(false), count),
            quantile(&mut latencies, 0.99),
            last,
        ]
    }

    /// Time from the end of the slow period to the end of the last 100 ms of arrivals of which fewer than 99% got a
    /// response in time.
    fn recovery_time(&self) -> String {
        let step = Duration::from_millis(100);
        let mut recovered = self.scenario.slow_until;
        let mut start = self.scenario.slow_until;
        while start < self.scenario.duration {
            let arrived =
                |request: &&Request| request.arrived >= start && request.arrived < start + step;
            let (mut count, mut responses) = (0, 0);
            for request in self.requests.iter().filter(arrived) {
                count += 1;
                responses += usize::from(request.latency.is_some());
            }
            if responses * 100 < count * 99 {
                recovered = start + step;
            }
            start += step;
        }
        if recovered >= self.scenario.duration {
            return "never".to_owned();
        }
        format!("{:.1} s", (recovered - self.scenario.slow_until).as_secs_f64())
    }
}
