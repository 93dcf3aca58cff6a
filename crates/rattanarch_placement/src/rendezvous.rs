//! Rendezvous hashing of members.

use rattanarch_types::BootId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Weight of `member` in the rendezvous hashing of `item`, for instance a slice or a boot id. Uniformly distributed, and
/// the same in every process; the member with the highest weight is usually chosen.
pub fn rendezvous_weight(item: u64, member: BootId) -> u64 {
    xxh3_64_with_seed(&member.to_le_bytes(), item)
}
