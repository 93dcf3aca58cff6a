//! Rendezvous hashing of members.

use rattanarch_types::BootId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Rendezvous weight of `member` for `subject`: uniformly distributed, and the same in every process.
pub fn rendezvous_weight(subject: u64, member: BootId) -> u64 {
    xxh3_64_with_seed(&member.to_le_bytes(), subject)
}
