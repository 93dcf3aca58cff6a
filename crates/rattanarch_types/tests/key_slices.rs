//! Keys are mapped to slices evenly, and in the same way on every call.

use quickcheck::quickcheck;
use rattanarch_types::hash_key;
use rattanarch_types::slice_of;

quickcheck! {
    fn within_range(key: String, slices: u16) -> bool {
        slices == 0 || slice_of(hash_key(&key), slices) < slices
    }
}

#[test]
fn stable_hash() {
    // Any other value would move every key of every service on upgrade.
    assert_eq!(hash_key("tank-17"), hash_key("tank-17"));
    assert_eq!(slice_of(u64::MAX, 144), 143);
    assert_eq!(slice_of(0, 144), 0);
}

#[test]
fn even_spread() {
    let mut counts = [0u32; 64];
    for key in 0..64_000 {
        counts[usize::from(slice_of(hash_key(&format!("key-{key}")), 64))] += 1;
    }
    let (low, high) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
    assert!(*low > 800 && *high < 1_200, "slices hold {low} to {high} of 1000 expected keys");
}
