//! One upstream whose requests pass an admission.

use std::collections::VecDeque;
use std::time::Duration;

use rattanarch_admission::AttemptOutcome;
use rattanarch_admission::ConcurrencyLimiter;
use rattanarch_admission::Queue;
use rattanarch_admission::RetryBudget;
use rattanarch_admission::Throughput;
use rattanarch_types::Priority;

use crate::draws::Draws;
use crate::table::Table;
use crate::table::percent;
use crate::table::quantile;
use crate::timeline::Timeline;
use crate::upstream::SLOTS;
use crate::upstream::Upstream;

/// Waiting requests for each slot, in a bounded queue.
const QUEUE_PER_SLOT: usize = 2;
/// Tries after the first, where retries are free.
const MAX_RETRIES: u32 = 3;

#[derive(Clone, Copy, PartialEq)]
enum Limit {
    None,
    Slots,
    Adapted,
}

#[derive(Clone, Copy, PartialEq)]
enum Order {
    Fifo,
    ByDeadline,
}

#[derive(Clone, Copy, PartialEq)]
enum Retries {
    None,
    Free,
    Budget,
}

#[derive(Clone, Copy)]
struct Variant {
    name: &'static str,
    limit: Limit,
    order: Order,
    retries: Retries,
}

/// A load and a fault.
#[derive(Clone, Copy)]
struct Scene {
    rate: f64,
    length: Duration,
    timeout: Duration,
    /// One in so many requests is deferrable, and has five times as long; 0: none.
    deferrable: usize,
    starts_warm: bool,
    chills: Option<Duration>,
    slow_from: Duration,
    slow_until: Duration,
    slow_factor: f64,
}

#[derive(Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    Chill,
    End(usize),
    GiveUp(usize),
}

struct Request {
    arrived: Duration,
    priority: Priority,
    retries: u32,
    answer: Option<Duration>,
    shed: bool,
}

struct Attempt {
    request: usize,
    sent: Duration,
    over: bool,
}

struct Run {
    variant: Variant,
    scene: Scene,
    draws: Draws,
    timeline: Timeline<Event>,
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

const PLAIN: Variant =
    Variant { name: "no limit", limit: Limit::None, order: Order::Fifo, retries: Retries::None };
const CALM: Scene = Scene {
    rate: 2_000.0,
    length: Duration::from_secs(20),
    timeout: Duration::from_millis(100),
    deferrable: 0,
    starts_warm: true,
    chills: None,
    slow_from: Duration::ZERO,
    slow_until: Duration::ZERO,
    slow_factor: 1.0,
};

/// Cold at the start and again halfway.
pub(crate) fn compare_cold(seed: u64) -> Table {
    let title =
        "Cold: 1 upstream at 40% that starts cold and turns cold again at 10 s, unannounced";
    let columns = ["admission", "in time", "shed", "late", "p99 ms", "collapses"];
    let chills = Some(Duration::from_secs(10));
    let timeout = Duration::from_millis(250);
    let scene = Scene { starts_warm: false, chills, timeout, ..CALM };
    let mut table = Table::new(title, &columns);
    for variant in admissions() {
        let run = Run::new(variant, scene, seed).run();
        table.push(run.row(None, run.upstream.collapses.to_string()));
    }
    table
}

/// A dip in speed, with callers that try again.
pub(crate) fn compare_storm(seed: u64) -> Table {
    let title = "Retry storm: 1 upstream at 80%, 4 times slower from 5 s to 7 s; timeout 100 ms";
    let columns = ["retries", "in time", "shed", "late", "p99 ms", "tries/req", "whole after"];
    let scene = Scene {
        rate: 4_000.0,
        slow_from: Duration::from_secs(5),
        slow_until: Duration::from_secs(7),
        slow_factor: 4.0,
        ..CALM
    };
    let mut table = Table::new(title, &columns);
    let adapted = Variant { limit: Limit::Adapted, order: Order::ByDeadline, ..PLAIN };
    let budgeted = Variant { retries: Retries::Budget, ..adapted };
    for variant in [
        Variant { name: "none", ..PLAIN },
        Variant { name: "three each", retries: Retries::Free, ..PLAIN },
        Variant { name: "budget", retries: Retries::Budget, ..PLAIN },
        Variant { name: "budget, slots, queue", limit: Limit::Slots, ..budgeted },
        Variant { name: "three, limiter, queue", retries: Retries::Free, ..adapted },
        Variant { name: "budget, limiter, queue", ..budgeted },
    ] {
        let run = Run::new(variant, scene, seed).run();
        let tries = run.attempts.len() as f64 / run.requests.len() as f64;
        let mut row = run.row(None, format!("{tries:.2}"));
        row.push(run.whole_after());
        table.push(row);
    }
    table
}

/// More work than the upstream bears, half of it deferrable.
pub(crate) fn compare_overload(seed: u64) -> Table {
    let title =
        "Overload: 1 warm upstream at 130%, half of it deferrable with 500 ms; urgent 100 ms";
    let columns = ["admission, class", "in time", "shed", "late", "p99 ms", "requests"];
    let scene = Scene { rate: 6_500.0, deferrable: 2, ..CALM };
    let mut table = Table::new(title, &columns);
    for variant in admissions() {
        let run = Run::new(variant, scene, seed).run();
        for class in [Priority::Urgent, Priority::Deferrable] {
            let count = run.of(Some(class)).count();
            let mut row = run.row(Some(class), count.to_string());
            row[0] = format!("{}, {class:?}", row[0]);
            table.push(row);
        }
    }
    table
}

fn admissions() -> [Variant; 4] {
    let queued = Variant { order: Order::ByDeadline, ..PLAIN };
    [
        PLAIN,
        Variant { name: "slots", limit: Limit::Slots, ..PLAIN },
        Variant { name: "slots, queue", limit: Limit::Slots, ..queued },
        Variant { name: "limiter, queue", limit: Limit::Adapted, ..queued },
    ]
}

impl Run {
    fn new(variant: Variant, scene: Scene, seed: u64) -> Self {
        Self {
            variant,
            scene,
            draws: Draws::new(seed),
            timeline: Timeline::new(),
            upstream: Upstream::new(scene.starts_warm),
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
        self.timeline.plan(Duration::ZERO, Event::Arrive);
        if let Some(time) = self.scene.chills {
            self.timeline.plan(time, Event::Chill);
        }
        while let Some(event) = self.timeline.next() {
            match event {
                Event::Arrive => self.arrive(),
                Event::Chill => self.upstream.chill(),
                Event::End(attempt) => self.end(attempt),
                Event::GiveUp(attempt) => self.give_up(attempt),
            }
        }
        self
    }

    fn arrive(&mut self) {
        let arrived = self.timeline.now();
        if arrived >= self.scene.length {
            return;
        }
        let gap = self.draws.exponential(Duration::from_secs_f64(1.0 / self.scene.rate));
        self.timeline.plan(gap, Event::Arrive);
        let request = self.requests.len();
        let is_deferrable = request.checked_rem(self.scene.deferrable) == Some(0);
        let priority = if is_deferrable { Priority::Deferrable } else { Priority::Urgent };
        self.requests.push(Request { arrived, priority, retries: 0, answer: None, shed: false });
        self.service.deposit();
        self.budget.deposit();
        self.attempt(request);
    }

    fn attempt(&mut self, request: usize) {
        let now = self.timeline.now();
        let attempt = self.attempts.len();
        let priority = self.requests[request].priority;
        let patience = if priority == Priority::Deferrable { 5 } else { 1 };
        let deadline = now + self.scene.timeout * patience;
        self.attempts.push(Attempt { request, sent: now, over: false });
        self.timeline.plan(deadline - now, Event::GiveUp(attempt));
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
            Limit::Adapted => self.limiter.limit(),
        }
    }

    fn start(&mut self, attempt: usize) {
        let now = self.timeline.now();
        self.running += 1;
        self.attempts[attempt].sent = now;
        if let Some(time) = self.upstream.take(now, attempt, &mut self.draws) {
            self.plan_end(attempt, time);
        }
    }

    fn plan_end(&mut self, attempt: usize, time: Duration) {
        let now = self.timeline.now();
        let slow = now >= self.scene.slow_from && now < self.scene.slow_until;
        let time = if slow { time.mul_f64(self.scene.slow_factor) } else { time };
        self.timeline.plan(time, Event::End(attempt));
    }

    fn end(&mut self, attempt: usize) {
        let now = self.timeline.now();
        let time = now - self.attempts[attempt].sent;
        self.limiter.observe(now, AttemptOutcome::Responded(time), self.running);
        self.running -= 1;
        self.answer(attempt);
        if let Some((next, time)) = self.upstream.end(now, &mut self.draws) {
            self.plan_end(next, time);
        }
        while self.running < self.limit() {
            let Some(next) = self.next() else { break };
            self.start(next);
        }
    }

    /// Answers the caller, unless it has given up.
    fn answer(&mut self, attempt: usize) {
        let Attempt { request, over, .. } = self.attempts[attempt];
        self.attempts[attempt].over = true;
        let request = &mut self.requests[request];
        if !over && request.answer.is_none() {
            request.answer = Some(self.timeline.now() - request.arrived);
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
        let popped = self.queue.pop(self.timeline.now());
        self.shed(popped.shed.into_iter().map(|shed| shed.item).collect());
        popped.next
    }

    fn shed(&mut self, attempts: Vec<usize>) {
        for attempt in attempts {
            self.attempts[attempt].over = true;
            let request = self.attempts[attempt].request;
            self.requests[request].shed = true;
            self.retry(request);
        }
    }

    fn give_up(&mut self, attempt: usize) {
        if self.attempts[attempt].over {
            return;
        }
        self.attempts[attempt].over = true;
        self.retry(self.attempts[attempt].request);
    }

    fn retry(&mut self, request: usize) {
        let may = match self.variant.retries {
            Retries::None => false,
            Retries::Free => true,
            Retries::Budget => RetryBudget::try_withdraw(&mut self.service, &mut self.budget),
        };
        if may && self.requests[request].retries < MAX_RETRIES {
            self.requests[request].retries += 1;
            self.attempt(request);
        }
    }

    fn of(&self, class: Option<Priority>) -> impl Iterator<Item = &Request> {
        let fits = move |request: &&Request| class.is_none_or(|class| request.priority == class);
        self.requests.iter().filter(fits)
    }

    fn row(&self, class: Option<Priority>, last: String) -> Vec<String> {
        let count = self.of(class).count();
        let mut times: Vec<_> = self.of(class).filter_map(|request| request.answer).collect();
        let lost = |shed: bool| {
            self.of(class)
                .filter(|request| request.answer.is_none() && request.shed == shed)
                .count()
        };
        vec![
            self.variant.name.to_owned(),
            percent(times.len(), count),
            percent(lost(true), count),
            percent(lost(false), count),
            quantile(&mut times, 0.99),
            last,
        ]
    }

    /// Time from the end of the slow spell until the last 100 ms of arrivals in which fewer than 99
    /// in 100 were answered.
    fn whole_after(&self) -> String {
        let step = Duration::from_millis(100);
        let mut whole = self.scene.slow_until;
        let mut start = self.scene.slow_until;
        while start < self.scene.length {
            let arrived =
                |request: &&Request| request.arrived >= start && request.arrived < start + step;
            let (mut count, mut answered) = (0, 0);
            for request in self.requests.iter().filter(arrived) {
                count += 1;
                answered += usize::from(request.answer.is_some());
            }
            if answered * 100 < count * 99 {
                whole = start + step;
            }
            start += step;
        }
        if whole >= self.scene.length {
            return "never".to_owned();
        }
        format!("{:.1} s", (whole - self.scene.slow_until).as_secs_f64())
    }
}
