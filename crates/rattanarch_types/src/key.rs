//! Mapping of keys to slices.

use xxhash_rust::xxh3::xxh3_64;

use crate::SliceId;

/// XXH3-64 hash of a key.
pub type KeyHash = u64;

/// Hashes `key`. The result must be the same in every process and release, since it decides ownership.
pub fn hash_key(key: &str) -> KeyHash {
    xxh3_64(key.as_bytes())
}

/// The slice of a key whose hash is `hash`, in a service of `slices` slices.
///
/// Uses the high half of the product, which spreads hashes evenly for any slice count. Returns 0 if
/// `slices` is 0.
///
/// ```
/// use rattanarch_types::{hash_key, slice_of};
/// assert!(slice_of(hash_key("tank-17"), 144) < 144);
/// ```
pub fn slice_of(hash: KeyHash, slices: SliceId) -> SliceId {
    let product = u128::from(hash) * u128::from(slices);
    (product >> u64::BITS) as SliceId
}
