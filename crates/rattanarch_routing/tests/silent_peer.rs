//! Requests to a peer that says nothing.

use std::time::Duration;

use rattanarch_routing::ProbeResult;
use rattanarch_routing::ProbeTracker;

/// Looks of a request, one after the other; returns what each led to, and how long the request had waited by then.
fn looks(repeatable: bool, stopping: bool, here: &[bool]) -> (Vec<ProbeResult>, Duration) {
    let mut watch = ProbeTracker::new(repeatable);
    let mut waited = Duration::ZERO;
    let mut look = |here: &bool| {
        waited += watch.delay();
        watch.on_probe(*here, stopping)
    };
    let looks = here.iter().map(&mut look).collect();
    (looks, waited)
}

/// A peer that is gone is given up within a second, so that half of a request's time is left elsewhere.
#[test]
fn peer_gone() {
    let (looks, waited) = looks(true, false, &[false, false]);
    assert_eq!(looks, [ProbeResult::Failed, ProbeResult::Unreachable]);
    assert!(waited < Duration::from_secs(1), "{waited:?}");
}

/// A peer that is slow, or behind a full link, keeps its request.
#[test]
fn peer_slow() {
    let (looks, _) = looks(true, false, &[true, false, true, false, true, true]);
    assert!(!looks.contains(&ProbeResult::Unreachable), "{looks:?}");
}

/// What must not run twice waits for an answer, and so does a request whose own daemon stops.
#[test]
fn no_second_run() {
    for (repeatable, stopping) in [(false, false), (true, true), (false, true)] {
        let (looks, _) = looks(repeatable, stopping, &[false; 20]);
        assert_eq!(looks, [ProbeResult::Failed; 20]);
    }
}
