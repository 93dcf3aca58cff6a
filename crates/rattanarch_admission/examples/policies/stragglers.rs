//! Eight upstreams without keys, one of which is slow by turns.

use std::time::Duration;

use rattanarch_admission::AttemptOutcome;
use rattanarch_admission::HedgeBudget;
use rattanarch_admission::Selector;
use rattanarch_admission::UpstreamKey;

use crate::draws::Draws;
use crate::table::Table;
use crate::table::percent;
use crate::table::quantile;
use crate::timeline::Timeline;
use crate::upstream::Upstream;

const UPSTREAMS: usize = 8;
/// Of 40,000 that eight warm upstreams bear.
const RATE: f64 = 24_000.0;
const LENGTH: Duration = Duration::from_secs(20);
/// Each such turn another upstream is slow, for its first part.
const TURN: Duration = Duration::from_secs(5);
const SLOW_PART: Duration = Duration::from_secs(2);
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
    place: usize,
    sent: Duration,
    is_hedge: bool,
}

struct Run {
    policy: Policy,
    draws: Draws,
    timeline: Timeline<Event>,
    upstreams: Vec<Upstream>,
    /// Attempts under way by upstream, as the daemon counts them.
    flying: Vec<usize>,
    selector: Selector,
    keys: Vec<UpstreamKey>,
    hedges: HedgeBudget,
    turn: usize,
    attempts: Vec<Attempt>,
    arrivals: Vec<Duration>,
    answers: Vec<Option<Duration>>,
}

/// The table of this comparison.
pub(crate) fn compare(seed: u64) -> Table {
    let title =
        "Stragglers: 8 upstreams at 60%, each turn of 5 s one is 10 times slower for 2 s (ms)";
    let columns = ["choice", "p50", "p99", "p99.9", "max", "sent twice"];
    let mut table = Table::new(title, &columns);
    use Policy::{Hedged, Random, RoundRobin, Selector, TwoChoices};
    for policy in [Random, RoundRobin, TwoChoices, Selector, Hedged] {
        let mut run = Run::new(policy, seed);
        run.run();
        table.push(run.row());
    }
    table
}

impl Run {
    fn new(policy: Policy, seed: u64) -> Self {
        let mut selector = Selector::default();
        let keys = (0..UPSTREAMS).map(|_| selector.insert()).collect();
        Self {
            policy,
            draws: Draws::new(seed),
            timeline: Timeline::new(),
            upstreams: (0..UPSTREAMS).map(|_| Upstream::new(true)).collect(),
            flying: vec![0; UPSTREAMS],
            selector,
            keys,
            hedges: HedgeBudget::default(),
            turn: 0,
            attempts: Vec::new(),
            arrivals: Vec::new(),
            answers: Vec::new(),
        }
    }

    fn run(&mut self) {
        self.timeline.plan(Duration::ZERO, Event::Arrive);
        while let Some(event) = self.timeline.next() {
            match event {
                Event::Arrive => self.arrive(),
                Event::End(attempt) => self.end(attempt),
                Event::Hedge(request) => self.hedge(request),
            }
        }
    }

    fn arrive(&mut self) {
        let now = self.timeline.now();
        if now >= LENGTH {
            return;
        }
        let gap = self.draws.exponential(Duration::from_secs_f64(1.0 / RATE));
        self.timeline.plan(gap, Event::Arrive);
        let request = self.arrivals.len();
        self.arrivals.push(now);
        self.answers.push(None);
        let place = self.choose(None);
        self.send(request, place, false);
        self.hedges.deposit();
        if self.policy == Policy::Hedged {
            self.timeline.plan(self.hedges.delay(), Event::Hedge(request));
        }
    }

    fn choose(&mut self, tried: Option<usize>) -> usize {
        let draws = [self.draws.word(), self.draws.word()];
        match self.policy {
            Policy::Random => self.draws.below(UPSTREAMS),
            Policy::RoundRobin => {
                self.turn += 1;
                self.turn % UPSTREAMS
            }
            Policy::TwoChoices => {
                let (a, b) = (self.draws.below(UPSTREAMS), self.draws.below(UPSTREAMS));
                if self.flying[b] < self.flying[a] { b } else { a }
            }
            Policy::Selector | Policy::Hedged => {
                let tried = tried.map(|place| self.keys[place]);
                let key = self.selector.choose(self.timeline.now(), draws, tried);
                self.keys.iter().position(|other| Some(*other) == key).unwrap_or(0)
            }
        }
    }

    fn send(&mut self, request: usize, place: usize, is_hedge: bool) {
        let now = self.timeline.now();
        let attempt = self.attempts.len();
        self.attempts.push(Attempt { request, place, sent: now, is_hedge });
        self.flying[place] += 1;
        self.selector.start(self.keys[place]);
        if let Some(time) = self.upstreams[place].take(now, attempt, &mut self.draws) {
            self.plan_end(attempt, time);
        }
    }

    fn plan_end(&mut self, attempt: usize, time: Duration) {
        let now = self.timeline.now();
        let slow = is_slow(now, self.attempts[attempt].place);
        let time = if slow { time.mul_f64(SLOW_FACTOR) } else { time };
        self.timeline.plan(time, Event::End(attempt));
    }

    fn end(&mut self, attempt: usize) {
        let now = self.timeline.now();
        let Attempt { request, place, sent, is_hedge } = self.attempts[attempt];
        self.flying[place] -= 1;
        let time = now - sent;
        self.selector.end(now, self.keys[place], AttemptOutcome::Responded(time));
        if !is_hedge {
            self.hedges.observe(time);
        }
        self.answers[request].get_or_insert(now - self.arrivals[request]);
        if let Some((next, time)) = self.upstreams[place].end(now, &mut self.draws) {
            self.plan_end(next, time);
        }
    }

    fn hedge(&mut self, request: usize) {
        if self.answers[request].is_some() || !self.hedges.try_withdraw() {
            return;
        }
        let first = self.attempts.iter().rev().find(|attempt| attempt.request == request);
        let tried = first.map(|attempt| attempt.place);
        let place = self.choose(tried);
        self.send(request, place, true);
    }

    fn row(&self) -> Vec<String> {
        let mut times: Vec<_> = self.answers.iter().flatten().copied().collect();
        let twice = self.attempts.len() - self.arrivals.len();
        vec![
            format!("{:?}", self.policy),
            quantile(&mut times, 0.5),
            quantile(&mut times, 0.99),
            quantile(&mut times, 0.999),
            quantile(&mut times, 1.0),
            percent(twice, self.arrivals.len()),
        ]
    }
}

fn is_slow(now: Duration, place: usize) -> bool {
    let turns = now.as_nanos() / TURN.as_nanos();
    let within = now.as_nanos() % TURN.as_nanos();
    turns as usize % UPSTREAMS == place && within < SLOW_PART.as_nanos()
}
