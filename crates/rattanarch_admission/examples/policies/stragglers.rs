//! Eight upstreams for requests without keys, each of which is slow in turn.

use std::time::Duration;

use rattanarch_admission::AttemptOutcome;
use rattanarch_admission::HedgeBudget;
use rattanarch_admission::Selector;
use rattanarch_admission::UpstreamKey;

use crate::event_queue::EventQueue;
use crate::random::RandomSource;
use crate::table::Table;
use crate::table::percent;
use crate::table::quantile;
use crate::upstream::Upstream;

const UPSTREAMS: usize = 8;
/// Requests a second, of 40,000 that eight warm upstreams can serve.
const REQUESTS_PER_SECOND: f64 = 24_000.0;
const DURATION: Duration = Duration::from_secs(20);
/// Period in which one upstream is slow, each time another one.
const PERIOD: Duration = Duration::from_secs(5);
/// Time from the start of each period for which that upstream is slow.
const SLOW_TIME: Duration = Duration::from_secs(2);
const SLOW_FACTOR: f64 = 10.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    Random,
    RoundRobin,
    TwoChoices,
    Selector,
    Hedged,
}

#[derive(Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    End(usize),
    Hedge(usize),
}

struct Attempt {
    request: usize,
    upstream: usize,
    sent: Duration,
    is_hedge: bool,
}

struct Simulation {
    policy: Policy,
    random: RandomSource,
    events: EventQueue<Event>,
    upstreams: Vec<Upstream>,
    /// Running attempts by upstream, as the daemon counts them.
    in_flight: Vec<usize>,
    selector: Selector,
    keys: Vec<UpstreamKey>,
    hedges: HedgeBudget,
    round_robin: usize,
    attempts: Vec<Attempt>,
    arrivals: Vec<Duration>,
    /// Latency of each request; `None` until its response.
    latencies: Vec<Option<Duration>>,
}

/// The table of this comparison.
pub(crate) fn compare(seed: u64) -> Table {
    let title =
        "Stragglers: 8 upstreams at 60%, every 5 s another one is 10 times slower for 2 s (ms)";
    let columns = ["policy", "p50", "p99", "p99.9", "max", "hedged"];
    let mut table = Table::new(title, &columns);
    use Policy::{Hedged, Random, RoundRobin, Selector, TwoChoices};
    for policy in [Random, RoundRobin, TwoChoices, Selector, Hedged] {
        let mut simulation = Simulation::new(policy, seed);
        simulation.run();
        table.push(simulation.row());
    }
    table
}

impl Simulation {
    fn new(policy: Policy, seed: u64) -> Self {
        let mut selector = Selector::default();
        let keys = (0..UPSTREAMS).map(|_| selector.insert()).collect();
        Self {
            policy,
            random: RandomSource::new(seed),
            events: EventQueue::new(),
            upstreams: (0..UPSTREAMS).map(|_| Upstream::new(true)).collect(),
            in_flight: vec![0; UPSTREAMS],
            selector,
            keys,
            hedges: HedgeBudget::default(),
            round_robin: 0,
            attempts: Vec::new(),
            arrivals: Vec::new(),
            latencies: Vec::new(),
        }
    }

    fn run(&mut self) {
        self.events.schedule(Duration::ZERO, Event::Arrive);
        while let Some(event) = self.events.next() {
            match event {
                Event::Arrive => self.arrive(),
                Event::End(attempt) => self.end(attempt),
                Event::Hedge(request) => self.hedge(request),
            }
        }
    }

    fn arrive(&mut self) {
        let now = self.events.now();
        if now >= DURATION {
            return;
        }
        let interval = self.random.exponential(Duration::from_secs_f64(1.0 / REQUESTS_PER_SECOND));
        self.events.schedule(interval, Event::Arrive);
        let request = self.arrivals.len();
        self.arrivals.push(now);
        self.latencies.push(None);
        let upstream = self.choose(None);
        self.send(request, upstream, false);
        self.hedges.deposit();
        if self.policy == Policy::Hedged {
            self.events.schedule(self.hedges.delay(), Event::Hedge(request));
        }
    }

    fn choose(&mut self, tried: Option<usize>) -> usize {
        let random = [self.random.word(), self.random.word()];
        match self.policy {
            Policy::Random => self.random.below(UPSTREAMS),
            Policy::RoundRobin => {
                self.round_robin += 1;
                self.round_robin % UPSTREAMS
            }
            Policy::TwoChoices => {
                let (a, b) = (self.random.below(UPSTREAMS), self.random.below(UPSTREAMS));
                if self.in_flight[b] < self.in_flight[a] { b } else { a }
            }
            Policy::Selector | Policy::Hedged => {
                let tried = tried.map(|upstream| self.keys[upstream]);
                let key = self.selector.choose(self.events.now(), random, tried);
                self.keys.iter().position(|other| Some(*other) == key).unwrap_or(0)
            }
        }
    }

    fn send(&mut self, request: usize, upstream: usize, is_hedge: bool) {
        let now = self.events.now();
        let attempt = self.attempts.len();
        self.attempts.push(Attempt { request, upstream, sent: now, is_hedge });
        self.in_flight[upstream] += 1;
        self.selector.start(self.keys[upstream]);
        if let Some(time) = self.upstreams[upstream].accept(now, attempt, &mut self.random) {
            self.schedule_end(attempt, time);
        }
    }

    fn schedule_end(&mut self, attempt: usize, time: Duration) {
        let now = self.events.now();
        let slow = is_slow(now, self.attempts[attempt].upstream);
        let time = if slow { time.mul_f64(SLOW_FACTOR) } else { time };
        self.events.schedule(time, Event::End(attempt));
    }

    fn end(&mut self, attempt: usize) {
        let now = self.events.now();
        let Attempt { request, upstream, sent, is_hedge } = self.attempts[attempt];
        self.in_flight[upstream] -= 1;
        let time = now - sent;
        self.selector.end(now, self.keys[upstream], AttemptOutcome::Responded(time));
        if !is_hedge {
            self.hedges.observe(time);
        }
        self.latencies[request].get_or_insert(now - self.arrivals[request]);
        if let Some((next, time)) = self.upstreams[upstream].end(now, &mut self.random) {
            self.schedule_end(next, time);
        }
    }

    fn hedge(&mut self, request: usize) {
        if self.latencies[request].is_some() || !self.hedges.try_withdraw() {
            return;
        }
        let first_attempt = self.attempts.iter().rev().find(|attempt| attempt.request == request);
        let tried = first_attempt.map(|attempt| attempt.upstream);
        let upstream = self.choose(tried);
        self.send(request, upstream, true);
    }

    fn row(&self) -> Vec<String> {
        let mut times: Vec<_> = self.latencies.iter().flatten().copied().collect();
        let hedges = self.attempts.len() - self.arrivals.len();
        vec![
            format!("{:?}", self.policy),
            quantile(&mut times, 0.5),
            quantile(&mut times, 0.99),
            quantile(&mut times, 0.999),
            quantile(&mut times, 1.0),
            percent(hedges, self.arrivals.len()),
        ]
    }
}

fn is_slow(now: Duration, upstream: usize) -> bool {
    let period = now.as_nanos() / PERIOD.as_nanos();
    let elapsed = now.as_nanos() % PERIOD.as_nanos();
    period as usize % UPSTREAMS == upstream && elapsed < SLOW_TIME.as_nanos()
}
