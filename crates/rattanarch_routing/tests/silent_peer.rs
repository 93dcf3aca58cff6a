//! Probes of a peer that does not respond to a request.

use std::time::Duration;

use rattanarch_routing::ProbeResult;
use rattanarch_routing::ProbeTracker;

/// Probes the peer of one request, with `reachable` as the results; returns what each showed, and the total delay.
fn probe(idempotent: bool, stopping: bool, reachable: &[bool]) -> (Vec<ProbeResult>, Duration) {
    let mut tracker = ProbeTracker::new(idempotent);
    let mut waited = Duration::ZERO;
    let mut probe = |reachable: &bool| {
        waited += tracker.delay();
        tracker.on_probe(*reachable, stopping)
    };
    let results = reachable.iter().map(&mut probe).collect();
    (results, waited)
}

/// An unreachable peer is detected within a second, which leaves half of a request's time for another instance.
#[test]
fn peer_unreachable() {
    let (results, waited) = probe(true, false, &[false, false]);
    assert_eq!(results, [ProbeResult::Failed, ProbeResult::Unreachable]);
    assert!(waited < Duration::from_secs(1), "{waited:?}");
}

/// Single failed probes, as of a slow peer or over a saturated link, do not make a peer unreachable.
#[test]
fn peer_slow() {
    let (results, _) = probe(true, false, &[true, false, true, false, true, true]);
    assert!(!results.contains(&ProbeResult::Unreachable), "{results:?}");
}

/// A request that must not run twice keeps waiting for its response, and so does one whose own daemon stops.
#[test]
fn no_second_run() {
    for (idempotent, stopping) in [(false, false), (true, true), (false, true)] {
        let (results, _) = probe(idempotent, stopping, &[false; 20]);
        assert_eq!(results, [ProbeResult::Failed; 20]);
    }
}
