//! Which instance of a service without keys serves a request.

use std::time::Duration;

use rattanarch_routing::AnswerSize;
use rattanarch_routing::Candidate;
use rattanarch_routing::choose;

fn idle(local: bool) -> Candidate {
    Candidate {
        local,
        slots: 18,
        busy: 2,
        mean: Duration::from_millis(60),
        failing: 0.0,
        cold: false,
        sending: Duration::ZERO,
    }
}

/// The instance in the own data centre is taken, whatever the draw.
#[test]
fn local_first() {
    let candidates = [idle(false), idle(true), idle(false)];
    for step in 0..20 {
        assert_eq!(choose(&candidates, AnswerSize::Small, step * (u64::MAX / 20)), Some(1));
    }
}

/// A local instance that is full, fails or is far slower loses to a remote one.
#[test]
fn local_overloaded() {
    let full = Candidate { busy: 60, ..idle(true) };
    assert_eq!(choose(&[idle(false), full], AnswerSize::Small, 0), Some(0));
    let failing = Candidate { failing: 0.6, ..idle(true) };
    assert_eq!(choose(&[idle(false), failing], AnswerSize::Large, 0), Some(0));
    let slow = Candidate { mean: Duration::from_millis(400), ..idle(true) };
    assert_eq!(choose(&[idle(false), slow], AnswerSize::Small, 0), Some(0));
    let cold = Candidate { cold: true, ..idle(true) };
    assert_eq!(choose(&[idle(false), cold], AnswerSize::Small, 0), Some(0));
}

/// Among equals the draw decides, so that senders do not all choose the same.
#[test]
fn equals_shared() {
    let candidates = [idle(false); 4];
    let mut chosen: Vec<_> = (0..8)
        .filter_map(|step| choose(&candidates, AnswerSize::Small, step * (u64::MAX / 8)))
        .collect();
    chosen.sort_unstable();
    chosen.dedup();
    assert_eq!(chosen, [0, 1, 2, 3]);
    assert_eq!(choose(&[], AnswerSize::Small, 5), None);
}

/// A busy data centre sends its small answers elsewhere before its large ones: plays a local instance
/// that fills up, and checks who crosses first.
#[test]
fn small_cross_first() {
    let crosses = |size| {
        (0..200).find(|busy| {
            let local = Candidate { busy: *busy, ..idle(true) };
            choose(&[local, idle(false)], size, 0) == Some(1)
        })
    };
    let (small, large) = (crosses(AnswerSize::Small), crosses(AnswerSize::Large));
    assert!(small.is_some() && small < large, "{small:?} {large:?}");
    assert!(large < Some(18 * 8), "a local queue of eight rounds is too long: {large:?}");
}

/// A large answer goes where the link has room for it; a small one does not wait behind large ones.
#[test]
fn full_link() {
    let full = Candidate { sending: Duration::from_secs(1), ..idle(true) };
    assert_eq!(choose(&[idle(false), full], AnswerSize::Large, 0), Some(0));
    assert_eq!(choose(&[idle(false), full], AnswerSize::Small, 0), Some(1));
}
