//! Responses to repeated idempotency keys.

use std::time::Duration;

use quickcheck::quickcheck;
use rattanarch_admission::Completion;
use rattanarch_admission::IdempotencyCache;
use rattanarch_admission::Lookup;

const MAX_AGE: Duration = Duration::from_secs(60);

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn cache(entries: usize) -> IdempotencyCache<u32> {
    IdempotencyCache::new(secs(100), entries, MAX_AGE)
}

#[test]
fn first_response() {
    let mut cache = cache(10);
    assert_eq!(cache.begin(secs(101), "k", 1), Lookup::New);
    assert_eq!(cache.begin(secs(101), "k", 1), Lookup::Running);
    cache.finish("k", Completion::Responded(7));
    assert_eq!(cache.begin(secs(102), "k", 1), Lookup::Responded(7));
    assert_eq!(cache.begin(secs(102), "k", 2), Lookup::Mismatch);
    assert_eq!(cache.begin(secs(161), "k", 1), Lookup::New, "older than the maximum age");
}

#[test]
fn correct_verdicts() {
    let mut cache = cache(10);
    assert_eq!(cache.begin(secs(101), "k", 1), Lookup::New);
    cache.finish("k", Completion::NotRun);
    assert_eq!(cache.begin(secs(101), "k", 1), Lookup::New, "it did not run");
    cache.finish("k", Completion::MayHaveRun);
    assert_eq!(cache.begin(secs(102), "k", 1), Lookup::MayHaveRun);
}

#[test]
fn long_running() {
    let mut cache = cache(10);
    assert_eq!(cache.begin(secs(101), "k", 1), Lookup::New);
    assert_eq!(
        cache.begin(secs(500), "k", 1),
        Lookup::Running,
        "a running request is not evicted by age"
    );
    cache.finish("k", Completion::Responded(1));
    assert_eq!(cache.begin(secs(500), "k", 1), Lookup::New);
}

#[test]
fn full_cache() {
    let mut cache = cache(2);
    assert_eq!(cache.begin(secs(101), "a", 1), Lookup::New);
    assert_eq!(cache.begin(secs(102), "b", 1), Lookup::New);
    assert_eq!(cache.begin(secs(103), "c", 1), Lookup::Full, "all entries still run");
    assert_eq!(cache.complete_since(), secs(100));
    cache.finish("b", Completion::Responded(2));
    assert_eq!(cache.begin(secs(104), "c", 1), Lookup::New);
    assert!(
        cache.complete_since() > secs(102),
        "the response to b was evicted, which `complete_since` has to show"
    );
    assert_eq!(cache.begin(secs(104), "a", 1), Lookup::Running);
}

#[test]
fn planned_handover() {
    let mut old = cache(10);
    for (key, completion) in
        [("a", Some(Completion::Responded(1))), ("b", Some(Completion::MayHaveRun)), ("c", None)]
    {
        assert_eq!(old.begin(secs(110), key, 5), Lookup::New);
        if let Some(completion) = completion {
            old.finish(key, completion);
        }
    }
    assert_eq!(old.begin(secs(110), "stays", 5), Lookup::New);
    let entries = old.export(secs(130), |key| key != "stays");
    assert_eq!((entries.len(), old.len()), (3, 1));
    let mut new = IdempotencyCache::new(secs(5_000), 10, MAX_AGE);
    new.import(secs(5_000), entries);
    assert_eq!(new.begin(secs(5_001), "a", 5), Lookup::Responded(1));
    assert_eq!(new.begin(secs(5_001), "b", 5), Lookup::MayHaveRun);
    assert_eq!(new.begin(secs(5_001), "c", 5), Lookup::MayHaveRun, "it ran at the old owner");
    assert_eq!(
        new.begin(secs(5_041), "a", 5),
        Lookup::New,
        "its age includes the time at the old owner"
    );
}

#[test]
fn import_without_room() {
    let mut old = cache(10);
    assert_eq!(old.begin(secs(110), "moved", 5), Lookup::New);
    old.finish("moved", Completion::Responded(1));
    let mut new = IdempotencyCache::new(secs(200), 1, MAX_AGE);
    assert_eq!(new.begin(secs(201), "runs", 5), Lookup::New);
    new.import(secs(202), old.export(secs(120), |_| true));
    assert_eq!(
        new.complete_since(),
        secs(202),
        "an entry was lost, which `complete_since` has to show"
    );
}

quickcheck! {
    /// A key that the cache guarantees to know never runs twice, and the cache stays within its capacity.
    fn runs_once(events: Vec<(u8, u8, u8)>) -> bool {
        let mut cache = cache(8);
        let mut now = secs(100);
        let mut first = std::collections::BTreeMap::new();
        events.into_iter().all(|(key, step, finish)| {
            now += secs(u64::from(step % 8));
            let name = format!("{}", key % 16);
            let lookup = cache.begin(now, &name, 1);
            let known = first.get(&name).copied();
            let guaranteed = known.is_some_and(|at| at >= cache.complete_since() && now - at < MAX_AGE);
            if lookup == Lookup::New {
                first.insert(name.clone(), now);
                match finish % 4 {
                    0 => {
                        cache.finish(&name, Completion::NotRun);
                        first.remove(&name);
                    }
                    1 => cache.finish(&name, Completion::MayHaveRun),
                    _ => cache.finish(&name, Completion::Responded(1)),
                }
            }
            cache.len() <= 8 && !(guaranteed && lookup == Lookup::New)
        })
    }
}
