//! The newest known version of an object never decreases.

use quickcheck::Gen;
use quickcheck::QuickCheck;
use rattanarch_config::Latest;

const SEED: u64 = 6;

#[test]
fn never_decreases() {
    fn property(versions: Vec<u64>) -> bool {
        let mut latest = Latest::default();
        let mut highest = None;
        versions.into_iter().all(|version| {
            let is_newer = highest.is_none_or(|highest| version > highest);
            highest = highest.max(Some(version));
            latest.offer(version, version) == is_newer && latest.get().copied() == highest
        })
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(30, SEED));
    check.quickcheck(property as fn(Vec<u64>) -> bool);
}
