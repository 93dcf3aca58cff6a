//! Upstreams that start cold or turn cold.

use std::time::Duration;

use rattanarch_admission::ColdStart;
use rattanarch_admission::Ending;
use rattanarch_admission::Limiter;

const ANSWERED: Ending = Ending::Answered(Duration::from_millis(10));

fn warm() -> ColdStart {
    let mut cold = ColdStart::new(20);
    for _ in 0..72 {
        cold.note(ANSWERED);
    }
    assert!(cold.is_warm());
    cold
}

#[test]
fn slow_growth() {
    let mut cold = ColdStart::new(20);
    let mut rounds = 0;
    while !cold.is_warm() {
        for _ in 0..cold.limit() {
            cold.note(ANSWERED);
        }
        rounds += 1;
    }
    assert!((8..=16).contains(&rounds), "warm after {rounds} rounds");
}

#[test]
fn cold_refusal() {
    let mut cold = warm();
    cold.note(Ending::Cold);
    assert_eq!(cold.limit(), 2);
}

#[test]
fn silent_collapse() {
    let mut cold = warm();
    for _ in 0..3 {
        cold.note(Ending::Answered(Duration::from_millis(900)));
    }
    assert_eq!(cold.limit(), 2);
    let mut cold = warm();
    cold.note(Ending::Failed);
    cold.note(Ending::Failed);
    assert!(cold.is_warm());
    cold.note(Ending::Failed);
    assert_eq!(cold.limit(), 2);
}

#[test]
fn lone_failures() {
    let mut cold = warm();
    for _ in 0..100 {
        cold.note(Ending::Failed);
        cold.note(Ending::Failed);
        cold.note(ANSWERED);
    }
    assert!(cold.is_warm());
}

#[test]
fn cold_limiter() {
    let mut limiter = Limiter::new(20);
    assert_eq!(limiter.limit(), 2);
    assert!(!limiter.is_warm());
    for _ in 0..200 {
        let running = limiter.limit();
        limiter.note(Duration::ZERO, ANSWERED, running);
    }
    assert!(limiter.is_warm());
    limiter.note(Duration::ZERO, Ending::Cold, 20);
    assert_eq!(limiter.limit(), 2);
}
