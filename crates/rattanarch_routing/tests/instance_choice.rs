//! Which instance of a service without keys serves a request.

use std::time::Duration;

use rattanarch_routing::Candidate;
use rattanarch_routing::ResponseSize;
use rattanarch_routing::choose_instance;

fn idle(local: bool) -> Candidate {
    Candidate {
        local,
        slots: 18,
        in_flight: 2,
        recent_load: true,
        mean_time: Duration::from_millis(60),
        failure_ratio: 0.0,
        cold: false,
        send_time: Duration::ZERO,
        lag: Duration::ZERO,
    }
}

/// The instance in the own data centre is taken, whatever the draw.
#[test]
fn local_first() {
    let candidates = [idle(false), idle(true), idle(false)];
    for step in 0..20 {
        assert_eq!(
            choose_instance(&candidates, ResponseSize::Small, step * (u64::MAX / 20)),
            Some(1)
        );
    }
}

/// A local instance that is full, fails or is far slower loses to a remote one.
#[test]
fn local_overloaded() {
    let full = Candidate { in_flight: 60, ..idle(true) };
    assert_eq!(choose_instance(&[idle(false), full], ResponseSize::Small, 0), Some(0));
    let failing = Candidate { failure_ratio: 0.6, ..idle(true) };
    assert_eq!(choose_instance(&[idle(false), failing], ResponseSize::Large, 0), Some(0));
    let slow = Candidate { mean_time: Duration::from_millis(400), ..idle(true) };
    assert_eq!(choose_instance(&[idle(false), slow], ResponseSize::Small, 0), Some(0));
    let cold = Candidate { cold: true, ..idle(true) };
    assert_eq!(choose_instance(&[idle(false), cold], ResponseSize::Small, 0), Some(0));
}

/// Draws of a test: spread over all numbers, the same in each run.
const DRAWS: u64 = 1_000;

/// How often each of `candidates` is taken, in percent.
fn shares(candidates: &[Candidate]) -> Vec<u64> {
    let mut counts = vec![0; candidates.len()];
    for step in 0..DRAWS {
        let draw = step * (u64::MAX / DRAWS);
        counts[choose_instance(candidates, ResponseSize::Small, draw).expect("there are some")] +=
            1;
    }
    counts.into_iter().map(|count| count * 100 / DRAWS).collect()
}

/// Among equals the draw decides, so that senders do not all choose the same.
#[test]
fn equals_shared() {
    let shares = shares(&[idle(false); 4]);
    assert!(shares.iter().all(|share| (20..=30).contains(share)), "{shares:?}");
    assert_eq!(choose_instance(&[], ResponseSize::Small, 5), None);
}

/// Senders that last heard of each instance seconds ago share them out by speed: the fastest is not flooded
/// by all of them.
#[test]
fn fastest_not_flooded() {
    let of_mean = |mean| Candidate {
        mean_time: Duration::from_millis(mean),
        recent_load: false,
        ..idle(true)
    };
    let shares = shares(&[of_mean(60), of_mean(90), of_mean(90), of_mean(120)]);
    assert!((30..=45).contains(&shares[0]), "{shares:?}");
    assert!((12..=24).contains(&shares[3]), "{shares:?}");
}

/// A fast instance whose machine lacks processor time gets less than a slower one whose machine does not.
#[test]
fn lagging_spared() {
    let of = |mean, lag| Candidate {
        mean_time: Duration::from_millis(mean),
        lag: Duration::from_millis(lag),
        recent_load: false,
        ..idle(true)
    };
    let shares = shares(&[of(50, 60), of(150, 2)]);
    assert!(shares[0] < shares[1], "{shares:?}");
}

/// A load that was heard of just now decides: a full instance gets next to nothing.
#[test]
fn recent_load_decides() {
    let full = Candidate { in_flight: 60, ..idle(true) };
    let shares = shares(&[idle(true), full, idle(true), idle(true)]);
    assert!(shares[1] <= 5, "{shares:?}");
}

/// A busy data centre sends its small answers elsewhere before its large ones: plays a local instance
/// that fills up, and checks who crosses first.
#[test]
fn small_cross_first() {
    let crosses = |size| {
        (0..200).find(|busy| {
            let local = Candidate { in_flight: *busy, ..idle(true) };
            choose_instance(&[local, idle(false)], size, 0) == Some(1)
        })
    };
    let (small, large) = (crosses(ResponseSize::Small), crosses(ResponseSize::Large));
    assert!(small.is_some() && small < large, "{small:?} {large:?}");
    assert!(large < Some(18 * 8), "a local queue of eight rounds is too long: {large:?}");
}

/// A large answer goes where the link has room for it; a small one does not wait behind large ones.
#[test]
fn full_link() {
    let full = Candidate { send_time: Duration::from_secs(1), ..idle(true) };
    assert_eq!(choose_instance(&[idle(false), full], ResponseSize::Large, 0), Some(0));
    assert_eq!(choose_instance(&[idle(false), full], ResponseSize::Small, 0), Some(1));
}
