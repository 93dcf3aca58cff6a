//! Upstreams that start cold or turn cold.

use std::time::Duration;

use rattanarch_admission::AttemptOutcome;
use rattanarch_admission::ColdStart;
use rattanarch_admission::ConcurrencyLimiter;

const ANSWERED: AttemptOutcome = AttemptOutcome::Responded(Duration::from_millis(10));

fn warm() -> ColdStart {
    let mut cold = ColdStart::new(20);
    for _ in 0..288 {
        cold.observe(ANSWERED, 20);
    }
    assert!(cold.is_warm());
    cold
}

#[test]
fn slow_growth() {
    let mut cold = ColdStart::new(20);
    let mut rounds = 0;
    while !cold.is_warm() {
        let running = cold.limit();
        for _ in 0..running {
            cold.observe(ANSWERED, running);
        }
        rounds += 1;
    }
    assert!((20..=60).contains(&rounds), "warm after {rounds} rounds");
}

#[test]
fn cold_refusal() {
    let mut cold = warm();
    cold.observe(AttemptOutcome::Cold, 20);
    assert_eq!(cold.limit(), 2);
}

#[test]
fn silent_collapse() {
    let mut cold = warm();
    for _ in 0..3 {
        cold.observe(AttemptOutcome::Responded(Duration::from_millis(900)), 20);
    }
    assert_eq!(cold.limit(), 2);
    let mut cold = warm();
    cold.observe(AttemptOutcome::Failed, 20);
    cold.observe(AttemptOutcome::Failed, 20);
    assert!(cold.is_warm());
    cold.observe(AttemptOutcome::Failed, 20);
    assert_eq!(cold.limit(), 2);
}

#[test]
fn lone_failures() {
    let mut cold = warm();
    for _ in 0..100 {
        cold.observe(AttemptOutcome::Failed, 20);
        cold.observe(AttemptOutcome::Failed, 20);
        cold.observe(ANSWERED, 20);
    }
    assert!(cold.is_warm());
}

#[test]
fn cold_limiter() {
    let mut limiter = ConcurrencyLimiter::new(20);
    assert_eq!(limiter.limit(), 2);
    assert!(!limiter.is_warm());
    for _ in 0..400 {
        let running = limiter.limit();
        limiter.observe(Duration::ZERO, ANSWERED, running);
    }
    assert!(limiter.is_warm());
    limiter.observe(Duration::ZERO, AttemptOutcome::Cold, 20);
    assert_eq!(limiter.limit(), 2);
}

#[test]
fn idle_growth() {
    let mut cold = ColdStart::new(20);
    for _ in 0..1_000 {
        cold.observe(ANSWERED, 1);
    }
    assert!(cold.limit() <= 3, "a lone request at a time took the limit to {}", cold.limit());
}

/// An upstream that bears `3 + answers / 100` and collapses beyond.
#[test]
fn paced_growth() {
    let mut cold = ColdStart::new(20);
    let mut falls = 0;
    let mut answers = 0;
    while !cold.is_warm() && falls < 100 {
        let running = cold.limit();
        if running > 3 + answers / 100 {
            cold.observe(AttemptOutcome::Cold, running);
            falls += 1;
            answers = 0;
        } else {
            cold.observe(ANSWERED, running);
            answers += 1;
        }
    }
    assert!(falls <= 5, "{falls} falls before it was warm");
}

#[test]
fn unproven_growth() {
    let mut cold = ColdStart::new(20);
    for _ in 0..1_000 {
        cold.observe(ANSWERED, 1);
    }
    // What lone requests have earned counts once more run at a time,
    for _ in 0..12 {
        let running = cold.limit();
        cold.observe(ANSWERED, running);
    }
    assert!(cold.limit() >= 8, "{}", cold.limit());
    // and is gone when the upstream was cold all the same.
    cold.observe(AttemptOutcome::Cold, 8);
    for _ in 0..12 {
        let running = cold.limit();
        cold.observe(ANSWERED, running);
    }
    assert_eq!(cold.limit(), 2);
}
