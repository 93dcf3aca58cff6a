//! Work that is simply slow: it takes few slots, and is served.

use std::time::Duration;

use rattanarch_admission::AttemptOutcome;
use rattanarch_admission::ConcurrencyLimiter;
use rattanarch_admission::Queue;
use rattanarch_admission::Throughput;
use rattanarch_types::Priority;

const SLOTS: u16 = 20;
/// A fifth of 120 requests a second.
const PER_SECOND: u64 = 24;
/// Time for a call, in milliseconds.
const TIMEOUT: u64 = 800;
/// Calls of a caller for one request.
const CALLS: u32 = 4;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[derive(Clone, Copy, Debug)]
struct Call {
    number: u32,
    deadline: u64,
}

#[derive(Clone, Copy, Debug)]
struct Work {
    start: u64,
    end: u64,
    deadline: u64,
}

/// One upstream and what goes before it, in steps of a millisecond.
struct Scene {
    now: u64,
    random: u64,
    limiter: ConcurrencyLimiter,
    queue: Queue<Call>,
    running: Vec<Work>,
    /// Calls to be made again, with their times.
    again: Vec<(u64, Call)>,
    /// Time of work in milliseconds.
    work: u64,
    answered: u32,
    refused: u32,
    failed: u32,
}

impl Scene {
    fn new(work: u64) -> Self {
        Self {
            now: 0,
            random: 7,
            limiter: ConcurrencyLimiter::new(SLOTS),
            queue: Queue::new(usize::from(SLOTS) * 2),
            running: Vec::new(),
            again: Vec::new(),
            work,
            answered: 0,
            refused: 0,
            failed: 0,
        }
    }

    /// An upstream that has grown warm at work of `work` milliseconds.
    fn warm(work: u64) -> Self {
        let mut scene = Self::new(work);
        for _ in 0..2_000 {
            let running = scene.limiter.limit();
            scene.limiter.observe(Duration::ZERO, AttemptOutcome::Responded(ms(work)), running);
        }
        assert!(scene.limiter.is_warm());
        scene
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.random >> 33) % below
    }

    /// Runs for some seconds; counts anew.
    fn run(&mut self, seconds: u64) {
        (self.answered, self.refused, self.failed) = (0, 0, 0);
        for _ in 0..seconds * 1_000 {
            self.now += 1;
            self.end_work();
            if self.draw(1_000) < PER_SECOND {
                self.call(1);
            }
            let (due, later) = self.again.iter().partition(|(at, _)| *at <= self.now);
            self.again = later;
            let due: Vec<(u64, Call)> = due;
            due.into_iter().for_each(|(_, call)| self.call(call.number));
        }
    }

    fn call(&mut self, number: u32) {
        let call = Call { number, deadline: self.now + TIMEOUT };
        if self.running.len() < self.limiter.limit() as usize && self.queue.is_empty() {
            return self.start(call);
        }
        self.set_throughput();
        let shed = self.queue.push(ms(self.now), Priority::Normal, ms(call.deadline), call);
        shed.into_iter().for_each(|shed| self.refuse(shed.item, shed.retry_after));
    }

    fn start(&mut self, call: Call) {
        // Work varies a little, as timers and schedulers do.
        let end = self.now + self.work + self.draw(6);
        self.running.push(Work { start: self.now, end, deadline: call.deadline });
    }

    fn refuse(&mut self, call: Call, retry: Duration) {
        self.refused += 1;
        if call.number == CALLS {
            self.failed += 1;
            return;
        }
        let at = self.now + retry.as_millis() as u64;
        self.again.push((at, Call { number: call.number + 1, ..call }));
    }

    fn end_work(&mut self) {
        let now = self.now;
        for work in self.running.clone() {
            let count = self.running.len() as u32;
            if work.end == now && now <= work.deadline {
                self.answered += 1;
                let time = ms(now - work.start);
                self.limiter.observe(ms(now), AttemptOutcome::Responded(time), count);
            } else if work.deadline + 1 == now && work.end >= now {
                self.failed += 1;
                self.limiter.observe(ms(now), AttemptOutcome::Failed, count);
            }
        }
        self.running.retain(|work| work.end > now);
        self.set_throughput();
        while self.running.len() < self.limiter.limit() as usize {
            let popped = self.queue.pop(ms(now));
            popped.shed.into_iter().for_each(|shed| self.refuse(shed.item, shed.retry_after));
            let Some(call) = popped.next else { return };
            self.start(call);
        }
    }

    fn set_throughput(&mut self) {
        let pace = Throughput {
            concurrency: self.limiter.limit(),
            service_time: self.limiter.mean_service_time(),
        };
        self.queue.set_throughput(pace);
    }

    fn tell(&self) -> String {
        let (answered, refused, failed) = (self.answered, self.refused, self.failed);
        let limit = self.limiter.limit();
        format!("{answered} answered, {refused} refused, {failed} failed, limit {limit}")
    }
}

#[test]
fn turns_slow() {
    let mut scene = Scene::warm(2);
    scene.run(5);
    scene.work = 200;
    scene.run(15);
    assert!(scene.refused * 100 <= scene.answered, "{}", scene.tell());
    assert_eq!(scene.failed, 0);
}

#[test]
fn light_load_before() {
    let mut scene = Scene::new(4);
    // One request at a time leaves the limit near its start.
    scene.run(15);
    assert!(!scene.limiter.is_warm());
    scene.work = 200;
    scene.run(15);
    assert!(scene.refused * 100 <= scene.answered * 2, "{}", scene.tell());
    assert_eq!(scene.failed, 0);
}
