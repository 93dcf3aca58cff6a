//! Which instance of a service without keys is chosen for a request.

use std::time::Duration;

use rattanarch_routing::Candidate;
use rattanarch_routing::ResponseSize;
use rattanarch_routing::choose_instance;

fn lightly_loaded(local: bool) -> Candidate {
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
        limit_interval: Duration::ZERO,
    }
}

/// The local instance is chosen for every random number.
#[test]
fn local_first() {
    let candidates = [lightly_loaded(false), lightly_loaded(true), lightly_loaded(false)];
    for step in 0..20 {
        assert_eq!(
            choose_instance(&candidates, ResponseSize::Small, step * (u64::MAX / 20)),
            Some(1)
        );
    }
}

/// A remote instance is chosen if the local one is full, failing, far slower or cold.
#[test]
fn local_overloaded() {
    let full = Candidate { in_flight: 60, ..lightly_loaded(true) };
    assert_eq!(choose_instance(&[lightly_loaded(false), full], ResponseSize::Small, 0), Some(0));
    let failing = Candidate { failure_ratio: 0.6, ..lightly_loaded(true) };
    assert_eq!(choose_instance(&[lightly_loaded(false), failing], ResponseSize::Large, 0), Some(0));
    let slow = Candidate { mean_time: Duration::from_millis(400), ..lightly_loaded(true) };
    assert_eq!(choose_instance(&[lightly_loaded(false), slow], ResponseSize::Small, 0), Some(0));
    let cold = Candidate { cold: true, ..lightly_loaded(true) };
    assert_eq!(choose_instance(&[lightly_loaded(false), cold], ResponseSize::Small, 0), Some(0));
}

/// Random numbers per test: evenly spread over all values, the same in each run.
const DRAWS: u64 = 1_000;

/// How often each of `candidates` is chosen, in percent.
fn chosen_percent(candidates: &[Candidate]) -> Vec<u64> {
    let mut counts = vec![0; candidates.len()];
    for step in 0..DRAWS {
        let draw = step * (u64::MAX / DRAWS);
        counts[choose_instance(candidates, ResponseSize::Small, draw)
            .expect("there are candidates")] += 1;
    }
    counts.into_iter().map(|count| count * 100 / DRAWS).collect()
}

/// Among equal candidates the random number decides, so that senders do not all choose the same one.
#[test]
fn equals_balanced() {
    let percent = chosen_percent(&[lightly_loaded(false); 4]);
    assert!(percent.iter().all(|percent| (20..=30).contains(percent)), "{percent:?}");
    assert_eq!(choose_instance(&[], ResponseSize::Small, 5), None);
}

/// When all reported loads are seconds old, requests are spread by speed: otherwise all senders would overload the
/// fastest instance.
#[test]
fn fastest_not_overloaded() {
    let of_mean = |mean| Candidate {
        mean_time: Duration::from_millis(mean),
        recent_load: false,
        ..lightly_loaded(true)
    };
    let percent = chosen_percent(&[of_mean(60), of_mean(90), of_mean(90), of_mean(120)]);
    assert!((30..=45).contains(&percent[0]), "{percent:?}");
    assert!((12..=24).contains(&percent[3]), "{percent:?}");
}

/// A fast instance whose machine is short of CPU time gets fewer requests than a slower one on a machine that is not.
#[test]
fn lagging_gets_less() {
    let of = |mean, lag| Candidate {
        mean_time: Duration::from_millis(mean),
        lag: Duration::from_millis(lag),
        recent_load: false,
        ..lightly_loaded(true)
    };
    let percent = chosen_percent(&[of(50, 60), of(150, 2)]);
    assert!(percent[0] < percent[1], "{percent:?}");
}

/// A recent load decides: a full instance gets hardly any requests.
#[test]
fn recent_load_decides() {
    let full = Candidate { in_flight: 60, ..lightly_loaded(true) };
    let percent =
        chosen_percent(&[lightly_loaded(true), full, lightly_loaded(true), lightly_loaded(true)]);
    assert!(percent[1] <= 5, "{percent:?}");
}

/// As a local instance fills up, requests with small responses go to another data centre before those with large
/// ones.
#[test]
fn small_cross_first() {
    let first_remote = |size| {
        (0..200).find(|in_flight| {
            let local = Candidate { in_flight: *in_flight, ..lightly_loaded(true) };
            choose_instance(&[local, lightly_loaded(false)], size, 0) == Some(1)
        })
    };
    let (small, large) = (first_remote(ResponseSize::Small), first_remote(ResponseSize::Large));
    assert!(small.is_some() && small < large, "{small:?} {large:?}");
    assert!(large < Some(18 * 8), "a local queue of eight rounds is too long: {large:?}");
}

/// A request with a large response goes where the link has capacity; a small response is not queued behind large ones.
#[test]
fn full_link() {
    let full = Candidate { send_time: Duration::from_secs(1), ..lightly_loaded(true) };
    assert_eq!(choose_instance(&[lightly_loaded(false), full], ResponseSize::Large, 0), Some(0));
    assert_eq!(choose_instance(&[lightly_loaded(false), full], ResponseSize::Small, 0), Some(1));
}

/// Guards against requests for an instance whose upstream may run fewer requests at once than it has slots: with the same
/// load, one with a lowered concurrency gets hardly any.
#[test]
fn lowered_concurrency() {
    let busy = Candidate { in_flight: 6, ..lightly_loaded(true) };
    let lowered = Candidate { slots: 3, ..busy };
    let percent = chosen_percent(&[busy, lowered, busy, busy]);
    assert!(percent[1] <= 5, "{percent:?}");
}
