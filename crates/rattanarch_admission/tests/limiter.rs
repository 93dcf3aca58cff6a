//! Adaptive concurrency limit of one upstream.

use std::time::Duration;

use quickcheck::quickcheck;
use rattanarch_admission::AttemptOutcome;
use rattanarch_admission::ConcurrencyLimiter;
use rattanarch_admission::LoadReport;

const SLOTS: u16 = 20;

fn responded(millis: u64) -> AttemptOutcome {
    AttemptOutcome::Responded(Duration::from_millis(millis))
}

fn warm() -> ConcurrencyLimiter {
    let mut limiter = ConcurrencyLimiter::new(SLOTS);
    for _ in 0..2_000 {
        let running = limiter.limit();
        limiter.observe(Duration::ZERO, responded(10), running);
    }
    assert_eq!(limiter.limit(), u32::from(SLOTS));
    limiter
}

#[test]
fn slow_neighbour() {
    let mut limiter = warm();
    let mut lowest = limiter.limit();
    for _ in 0..300 {
        let running = limiter.limit();
        limiter.observe(Duration::ZERO, responded(60), running);
        lowest = lowest.min(limiter.limit());
    }
    // The limit is reduced, but by latency alone to no less than half of the slots.
    assert_eq!(lowest, 10);
    for _ in 0..2_000 {
        let running = limiter.limit();
        limiter.observe(Duration::ZERO, responded(10), running);
    }
    assert_eq!(limiter.limit(), u32::from(SLOTS));
}

#[test]
fn refusal_burst() {
    let mut limiter = warm();
    // All twenty running requests are refused at the same time: this counts as one refusal.
    for running in (1..=20).rev() {
        limiter.observe(Duration::ZERO, AttemptOutcome::Refused, running);
    }
    assert_eq!(limiter.limit(), 10);
    limiter.observe(Duration::ZERO, AttemptOutcome::Refused, 10);
    assert_eq!(limiter.limit(), 5);
}

#[test]
fn idle_growth() {
    let mut limiter = warm();
    limiter.observe(Duration::ZERO, AttemptOutcome::Refused, 1);
    // With one request at a time, responses are no evidence that the upstream can take a higher limit.
    for _ in 0..1_000 {
        limiter.observe(Duration::ZERO, responded(10), 1);
    }
    assert_eq!(limiter.limit(), 10);
}

#[test]
fn report_corrects() {
    let mut limiter = warm();
    let now = Duration::from_secs(1);
    limiter.apply_report(now, LoadReport { running: 19, slots: 20 }, 16);
    assert_eq!(limiter.limit(), 17);
    limiter.apply_report(now, LoadReport { running: 1_000, slots: 20 }, 16);
    assert_eq!(limiter.limit(), 15, "a misleading report reduced the limit by more than a quarter");
    limiter.apply_report(now, LoadReport { running: 0, slots: 1_000 }, 16);
    assert_eq!(limiter.limit(), 20);
    limiter.apply_report(now, LoadReport { running: 1_000, slots: 20 }, 16);
    limiter.observe(now + Duration::from_secs(1), responded(10), 1);
    assert_eq!(limiter.limit(), 20, "an old report is still used");
}

fn outcome(kind: u8, millis: u16) -> AttemptOutcome {
    match kind % 8 {
        0 => AttemptOutcome::Refused,
        1 => AttemptOutcome::Cold,
        2 => AttemptOutcome::Failed,
        _ => responded(u64::from(millis)),
    }
}

quickcheck! {
    fn within_slots(slots: u16, events: Vec<(u8, u16, u16)>) -> bool {
        let mut limiter = ConcurrencyLimiter::new(slots);
        let mut now = Duration::ZERO;
        events.into_iter().all(|(kind, millis, running)| {
            now += Duration::from_millis(u64::from(millis));
            if kind % 5 == 0 {
                let report = LoadReport { running: u32::from(millis), slots: u32::from(running) };
                limiter.apply_report(now, report, u32::from(running));
            }
            limiter.observe(now, outcome(kind, millis), u32::from(running));
            (1..=u32::from(slots.max(1))).contains(&limiter.limit())
        })
    }
}
