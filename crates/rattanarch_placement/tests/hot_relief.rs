//! Hot keys are found in bounded memory, and few of them move at once.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use quickcheck::quickcheck;
use rattanarch_placement::HotKeys;
use rattanarch_placement::MAX_KEY_MOVES;
use rattanarch_placement::plan_key_moves;
use rattanarch_types::hash_key;

use support::service;

const CAPACITY: usize = 16;

quickcheck! {
    fn never_overestimates(keys: Vec<u8>) -> bool {
        let mut sketch = HotKeys::new(CAPACITY);
        let mut exact = BTreeMap::new();
        for key in keys {
            let key = u64::from(key % 40);
            sketch.count(key);
            *exact.entry(key).or_insert(0u32) += 1;
        }
        let rates = sketch.take_rates(Duration::from_secs(1));
        rates.len() <= CAPACITY && rates.iter().all(|(key, rate)| *rate <= exact[key])
    }
}

#[test]
fn finds_frequent() {
    let mut sketch = HotKeys::new(CAPACITY);
    for request in 0..100_000u64 {
        let key = if request % 4 == 0 { 1 } else { hash_key(&request.to_string()) };
        sketch.count(key);
    }
    let rates = sketch.take_rates(Duration::from_secs(10));
    assert_eq!(rates.iter().max_by_key(|(_, rate)| **rate).map(|(key, _)| *key), Some(1));
    assert!(rates[&1] > 1_500, "{} of 2500 a second", rates[&1]);
    assert!(sketch.take_rates(Duration::from_secs(1)).is_empty());
}

/// Plans key moves for four members with `loads`; the first one has keys of 300 and 200 requests per second.
fn plan(loads: [u32; 4]) -> Vec<(u64, u64)> {
    let record = service(4, 4, 64);
    let mut keys = (0..u64::MAX).step_by(1 << 58).filter(|key| record.owner_of(*key) == Some(1));
    let keys: BTreeMap<u64, u32> = [300, 200, 5]
        .into_iter()
        .map(|load| (keys.next().expect("member 1 owns keys"), load))
        .collect();
    let loads = (1..).zip(loads).collect();
    plan_key_moves(&record, 1, &BTreeSet::new(), &keys, &loads)
}

#[test]
fn overloaded_gives_keys() {
    let moves = plan([1_000, 300, 100, 400]);
    assert_eq!(moves.len(), MAX_KEY_MOVES);
    assert_eq!(moves[0].1, 3);
}

#[test]
fn balanced_keeps_keys() {
    assert!(plan([450, 400, 420, 400]).is_empty());
}

#[test]
fn dominant_key_stays() {
    // Nearly all load is on one key: moving it would only move the overload.
    assert!(plan([310, 100, 100, 100]).iter().all(|(_, to)| *to != 1));
    let record = service(2, 2, 2);
    let key = (0..u64::MAX).step_by(1 << 58).find(|key| record.owner_of(*key) == Some(1));
    let keys = BTreeMap::from([(key.expect("member 1 owns keys"), 1_000)]);
    let loads = BTreeMap::from([(1, 1_000), (2, 10)]);
    assert!(plan_key_moves(&record, 1, &BTreeSet::new(), &keys, &loads).is_empty());
}
