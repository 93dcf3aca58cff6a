//! Groups of accounts and the ranking of their coordinators.

use rattanarch_types::FlowId;
use xxhash_rust::xxh3::xxh3_64;

/// Number of a group of accounts that has one coordinator.
pub type QuotaGroupId = u8;

/// Id of a member of any service, the same in all daemons.
pub type QuotaMember = u64;

/// Number of groups. Each daemon sends a request to each coordinator about once a second, so that the number bounds its
/// datagrams, and few accounts depend on one coordinator.
pub const QUOTA_GROUPS: QuotaGroupId = 16;

/// Group of the account with `flow`.
pub fn quota_group(flow: FlowId) -> QuotaGroupId {
    (flow % u64::from(QUOTA_GROUPS)) as QuotaGroupId
}

/// Rendezvous score of `member` for `key`: the member with the highest one ranks first.
pub(crate) fn score(key: u64, member: QuotaMember) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&member.to_le_bytes());
    xxh3_64(&bytes)
}
