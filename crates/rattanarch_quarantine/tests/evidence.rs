//! Which requests are refused after upstreams have ended.

use std::time::Duration;

use rattanarch_quarantine::Fingerprint;
use rattanarch_quarantine::MAX_SUSPECTS;
use rattanarch_quarantine::Quarantine;
use rattanarch_quarantine::QuarantineChange;
use rattanarch_quarantine::Verdict;
use rattanarch_quarantine::trial_instance;

const KILLER: Fingerprint = Fingerprint { head: 1, body: 0 };
const HOT: Fingerprint = Fingerprint { head: 2, body: 0 };

fn at(seconds: u64) -> Duration {
    Duration::from_secs(1_000 + seconds)
}

/// Others that were in flight once.
fn bystanders(end: u64) -> Vec<Fingerprint> {
    (0..16).map(|index| Fingerprint { head: 100 + end * 16 + index, body: 0 }).collect()
}

fn end_with(quarantine: &mut Quarantine, seconds: u64, end: u64, requests: &[Fingerprint]) {
    let all = [requests, &bystanders(end)].concat();
    quarantine.record_end(at(seconds), end, &all, None);
}

/// A request that was in flight at two ends waits for its trial; others that were in flight once run on.
#[test]
fn in_flight_twice() {
    let mut quarantine = Quarantine::default();
    end_with(&mut quarantine, 0, 1, &[KILLER]);
    assert_eq!(quarantine.check(at(0), &KILLER), Verdict::Free);
    end_with(&mut quarantine, 1, 2, &[KILLER]);
    assert_eq!(quarantine.check(at(1), &KILLER), Verdict::Quarantined(Duration::from_secs(5)));
    assert_eq!(quarantine.check(at(6), &KILLER), Verdict::Trial);
    assert!(bystanders(2).iter().all(|other| quarantine.check(at(1), other) == Verdict::Free));
    assert_eq!(quarantine.take_changes(), [(KILLER, QuarantineChange::Quarantined)]);
}

/// A request that is answered between the ends of upstreams is never refused.
#[test]
fn answered_between() {
    let mut quarantine = Quarantine::default();
    for end in 0..10 {
        end_with(&mut quarantine, end, end, &[HOT, KILLER]);
        quarantine.record_answer(at(end), &HOT);
        assert_eq!(quarantine.check(at(end), &HOT), Verdict::Free, "end {end}");
    }
    assert!(matches!(quarantine.check(at(9), &KILLER), Verdict::Quarantined(_)));
}

/// The report of one end twice counts once.
#[test]
fn same_end() {
    let mut quarantine = Quarantine::default();
    end_with(&mut quarantine, 0, 1, &[KILLER]);
    end_with(&mut quarantine, 1, 1, &[KILLER]);
    assert_eq!(quarantine.check(at(1), &KILLER), Verdict::Free);
}

/// A trial that ends its upstream is proof, and what ran beside it isn't suspected of this end.
#[test]
fn failed_trials() {
    let mut quarantine = Quarantine::default();
    end_with(&mut quarantine, 0, 1, &[KILLER, HOT]);
    end_with(&mut quarantine, 0, 2, &[KILLER]);
    let mut now = 0;
    for (end, pause) in [(3, 60), (4, 600), (5, 3_600), (6, 3_600)] {
        now += if end == 3 { 5 } else { 0 };
        assert_eq!(quarantine.check(at(now), &KILLER), Verdict::Trial);
        quarantine.record_end(at(now), end, &[KILLER, HOT], Some(KILLER));
        let left = Duration::from_secs(pause);
        assert_eq!(quarantine.check(at(now), &KILLER), Verdict::Quarantined(left));
        assert_eq!(quarantine.check(at(now), &HOT), Verdict::Free);
        now += pause;
    }
}

/// A trial that was not in flight when the upstream ended proves nothing.
#[test]
fn trial_not_sent() {
    let mut quarantine = Quarantine::default();
    end_with(&mut quarantine, 0, 1, &[KILLER]);
    quarantine.record_end(at(1), 2, &[KILLER], Some(HOT));
    assert_eq!(quarantine.check(at(1), &KILLER), Verdict::Quarantined(Duration::from_secs(5)));
    assert_eq!(quarantine.check(at(1), &HOT), Verdict::Free);
}

/// A request whose upstreams have been mended runs again after one trial.
#[test]
fn mended() {
    let mut quarantine = Quarantine::default();
    end_with(&mut quarantine, 0, 1, &[KILLER]);
    end_with(&mut quarantine, 0, 2, &[KILLER]);
    quarantine.record_end(at(5), 3, &[KILLER], Some(KILLER));
    assert!(quarantine.record_answer(at(70), &KILLER));
    assert_eq!(quarantine.check(at(70), &KILLER), Verdict::Free);
    assert_eq!(quarantine.take_changes().last(), Some(&(KILLER, QuarantineChange::Released)));
    assert!(!quarantine.record_answer(at(71), &KILLER), "nothing is left to clear");
}

/// However many different requests are suspected, the table is bounded and keeps those in quarantine.
#[test]
fn flood() {
    let mut quarantine = Quarantine::default();
    end_with(&mut quarantine, 0, 1, &[KILLER]);
    end_with(&mut quarantine, 0, 2, &[KILLER]);
    for end in 10..1_000 {
        end_with(&mut quarantine, end, end, &[]);
    }
    assert_eq!(quarantine.counts(), (MAX_SUSPECTS, 1));
    assert_eq!(quarantine.check(at(1_000), &KILLER), Verdict::Trial);
}

/// Each entry is forgotten in the end.
#[test]
fn forgotten() {
    let mut quarantine = Quarantine::default();
    end_with(&mut quarantine, 0, 1, &[KILLER, HOT]);
    end_with(&mut quarantine, 0, 2, &[KILLER]);
    quarantine.record_answer(at(0), &HOT);
    quarantine.expire(at(599));
    assert_eq!(quarantine.counts().0, 34);
    quarantine.expire(at(600));
    assert_eq!(quarantine.counts().0, 33, "the one that was cleared is gone");
    quarantine.expire(at(3_600));
    assert_eq!(quarantine.counts(), (1, 1));
    quarantine.expire(at(7_200));
    assert!(quarantine.is_empty());
}

/// All daemons choose the same instance for a trial, another one in a later round, and each in its turn.
#[test]
fn trial_choice() {
    let instances = || 1..=13;
    let choice = |round: u64| trial_instance(&KILLER, round * 8_000, instances()).expect("some");
    assert_eq!(
        choice(7),
        trial_instance(&KILLER, 7 * 8_000 + 7_999, instances().rev()).expect("some")
    );
    let mut chosen: Vec<_> = (0..200).map(choice).collect();
    chosen.sort_unstable();
    chosen.dedup();
    assert_eq!(chosen.len(), 13);
    assert_eq!(trial_instance(&KILLER, 0, []), None);
}
