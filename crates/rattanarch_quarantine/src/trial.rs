//! Choice of the instance that runs the trial of a request in quarantine.

use std::time::Duration;

use rattanarch_types::BootId;

use crate::Fingerprint;

/// Time after which another instance is chosen, since the one before may be down: longer than a trial takes, and than clocks
/// of machines differ.
pub const TRIAL_ROUND: Duration = Duration::from_secs(8);

/// The one of `instances` that may run a trial of the request `fingerprint` at the time `unix_ms`, by rendezvous hashing. All
/// daemons with the same record choose the same one.
pub fn trial_instance(
    fingerprint: &Fingerprint,
    unix_ms: u64,
    instances: impl IntoIterator<Item = BootId>,
) -> Option<BootId> {
    let round = unix_ms / TRIAL_ROUND.as_millis() as u64;
    let seed = fingerprint.head ^ fingerprint.body.rotate_left(32) ^ mix(round);
    instances.into_iter().max_by_key(|id| (mix(seed ^ id), *id))
}

/// Finalizer of `SplitMix64`: each bit of the result depends on each of `value`.
pub(crate) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
