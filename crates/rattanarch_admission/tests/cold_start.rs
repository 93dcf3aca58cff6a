//! Concurrency limits of upstreams that start cold or become cold.

use std::time::Duration;

use rattanarch_admission::AttemptOutcome;
use rattanarch_admission::ColdStart;
use rattanarch_admission::ConcurrencyLimiter;

const RESPONDED: AttemptOutcome = AttemptOutcome::Responded(Duration::from_millis(10));

fn warm() -> ColdStart {
    let mut cold = ColdStart::new(20);
    for _ in 0..288 {
        cold.observe(RESPONDED, 20);
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
            cold.observe(RESPONDED, running);
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
fn unannounced_collapse() {
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
fn isolated_failures() {
    let mut cold = warm();
    for _ in 0..100 {
        cold.observe(AttemptOutcome::Failed, 20);
        cold.observe(AttemptOutcome::Failed, 20);
        cold.observe(RESPONDED, 20);
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
        limiter.observe(Duration::ZERO, RESPONDED, running);
    }
    assert!(limiter.is_warm());
    limiter.observe(Duration::ZERO, AttemptOutcome::Cold, 20);
    assert_eq!(limiter.limit(), 2);
}

#[test]
fn idle_growth() {
    let mut cold = ColdStart::new(20);
    for _ in 0..1_000 {
        cold.observe(RESPONDED, 1);
    }
    assert!(cold.limit() <= 3, "one request at a time raised the limit to {}", cold.limit());
}

/// An upstream that can run `3 + responses / 100` requests and collapses beyond that is warm after a few resets, because
/// each reset halves the growth.
#[test]
fn growth_after_resets() {
    let mut cold = ColdStart::new(20);
    let mut resets = 0;
    let mut responses = 0;
    while !cold.is_warm() && resets < 100 {
        let running = cold.limit();
        if running > 3 + responses / 100 {
            cold.observe(AttemptOutcome::Cold, running);
            resets += 1;
            responses = 0;
        } else {
            cold.observe(RESPONDED, running);
            responses += 1;
        }
    }
    assert!(resets <= 5, "{resets} resets before it was warm");
}

#[test]
fn deferred_growth() {
    let mut cold = ColdStart::new(20);
    for _ in 0..1_000 {
        cold.observe(RESPONDED, 1);
    }
    // The deferred growth of single requests is applied once more run at a time,
    for _ in 0..12 {
        let running = cold.limit();
        cold.observe(RESPONDED, running);
    }
    assert!(cold.limit() >= 8, "{}", cold.limit());
    // and is lost if the upstream was cold nevertheless.
    cold.observe(AttemptOutcome::Cold, 8);
    for _ in 0..12 {
        let running = cold.limit();
        cold.observe(RESPONDED, running);
    }
    assert_eq!(cold.limit(), 2);
}
