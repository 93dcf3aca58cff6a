//! Requests that are merely slow at an upstream with enough slots are served, not refused.

use std::time::Duration;

use rattanarch_admission::AttemptOutcome;
use rattanarch_admission::ConcurrencyLimiter;
use rattanarch_admission::Queue;
use rattanarch_admission::Throughput;
use rattanarch_types::Priority;

const SLOTS: u16 = 20;
/// Request rate: a fifth of 120 requests a second.
const REQUESTS_PER_SECOND: u64 = 24;
/// Timeout of an attempt.
const TIMEOUT_MS: u64 = 800;
/// Attempts that a caller makes for one request.
const MAX_ATTEMPTS: u32 = 4;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    number: u32,
    deadline: u64,
}

#[derive(Clone, Copy, Debug)]
struct Work {
    start: u64,
    end: u64,
    deadline: u64,
}

/// One upstream with its limiter and queue, simulated in steps of a millisecond. Times are in milliseconds.
struct Simulation {
    now: u64,
    rng_state: u64,
    limiter: ConcurrencyLimiter,
    queue: Queue<Attempt>,
    running: Vec<Work>,
    /// Retries with their times.
    retries: Vec<(u64, Attempt)>,
    /// Service time in milliseconds.
    work_ms: u64,
    responses: u32,
    refused: u32,
    failed: u32,
}

impl Simulation {
    fn new(work_ms: u64) -> Self {
        Self {
            now: 0,
            rng_state: 7,
            limiter: ConcurrencyLimiter::new(SLOTS),
            queue: Queue::new(usize::from(SLOTS) * 2),
            running: Vec::new(),
            retries: Vec::new(),
            work_ms,
            responses: 0,
            refused: 0,
            failed: 0,
        }
    }

    /// An upstream that is warm, with a service time of `work_ms`.
    fn warm(work_ms: u64) -> Self {
        let mut simulation = Self::new(work_ms);
        for _ in 0..2_000 {
            let running = simulation.limiter.limit();
            simulation.limiter.observe(
                Duration::ZERO,
                AttemptOutcome::Responded(ms(work_ms)),
                running,
            );
        }
        assert!(simulation.limiter.is_warm());
        simulation
    }

    fn random(&mut self, below: u64) -> u64 {
        self.rng_state = self.rng_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.rng_state >> 33) % below
    }

    /// Runs for `seconds`, with all counters reset.
    fn run(&mut self, seconds: u64) {
        (self.responses, self.refused, self.failed) = (0, 0, 0);
        for _ in 0..seconds * 1_000 {
            self.now += 1;
            self.end_work();
            if self.random(1_000) < REQUESTS_PER_SECOND {
                self.attempt(1);
            }
            let (due, later) = self.retries.iter().partition(|(at, _)| *at <= self.now);
            self.retries = later;
            let due: Vec<(u64, Attempt)> = due;
            due.into_iter().for_each(|(_, retry)| self.attempt(retry.number));
        }
    }

    fn attempt(&mut self, number: u32) {
        let attempt = Attempt { number, deadline: self.now + TIMEOUT_MS };
        if self.running.len() < self.limiter.limit() as usize && self.queue.is_empty() {
            return self.start(attempt);
        }
        self.update_throughput();
        let shed = self.queue.push(ms(self.now), Priority::Normal, ms(attempt.deadline), attempt);
        shed.into_iter().for_each(|shed| self.refuse(shed.item, shed.retry_after));
    }

    fn start(&mut self, attempt: Attempt) {
        // Service times vary a little, because of timers and the scheduler.
        let end = self.now + self.work_ms + self.random(6);
        self.running.push(Work { start: self.now, end, deadline: attempt.deadline });
    }

    fn refuse(&mut self, attempt: Attempt, retry_after: Duration) {
        self.refused += 1;
        if attempt.number == MAX_ATTEMPTS {
            self.failed += 1;
            return;
        }
        let at = self.now + retry_after.as_millis() as u64;
        self.retries.push((at, Attempt { number: attempt.number + 1, ..attempt }));
    }

    fn end_work(&mut self) {
        let now = self.now;
        for work in self.running.clone() {
            let count = self.running.len() as u32;
            if work.end == now && now <= work.deadline {
                self.responses += 1;
                let time = ms(now - work.start);
                self.limiter.observe(ms(now), AttemptOutcome::Responded(time), count);
            } else if work.deadline + 1 == now && work.end >= now {
                self.failed += 1;
                self.limiter.observe(ms(now), AttemptOutcome::Failed, count);
            }
        }
        self.running.retain(|work| work.end > now);
        self.update_throughput();
        while self.running.len() < self.limiter.limit() as usize {
            let popped = self.queue.pop(ms(now));
            popped.shed.into_iter().for_each(|shed| self.refuse(shed.item, shed.retry_after));
            let Some(attempt) = popped.next else { return };
            self.start(attempt);
        }
    }

    fn update_throughput(&mut self) {
        let throughput = Throughput {
            concurrency: self.limiter.limit(),
            service_time: self.limiter.mean_service_time(),
        };
        self.queue.set_throughput(throughput);
    }

    fn summary(&self) -> String {
        let (responses, refused, failed) = (self.responses, self.refused, self.failed);
        let limit = self.limiter.limit();
        format!("{responses} responses, {refused} refused, {failed} failed, limit {limit}")
    }
}

#[test]
fn becomes_slow() {
    let mut simulation = Simulation::warm(2);
    simulation.run(5);
    simulation.work_ms = 200;
    simulation.run(15);
    assert!(simulation.refused * 100 <= simulation.responses, "{}", simulation.summary());
    assert_eq!(simulation.failed, 0);
}

#[test]
fn light_load_before() {
    let mut simulation = Simulation::new(4);
    // With one request at a time, the limit stays near its initial value.
    simulation.run(15);
    assert!(!simulation.limiter.is_warm());
    simulation.work_ms = 200;
    simulation.run(15);
    assert!(simulation.refused * 100 <= simulation.responses * 2, "{}", simulation.summary());
    assert_eq!(simulation.failed, 0);
}
