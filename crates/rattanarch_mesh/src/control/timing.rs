//! Durations of the ownership protocol on this platform.

use std::time::Duration;

use rattanarch_ownership::Timing;

/// Shortest lease: below it, more time is lost to leases that lapse by a late message than is won
/// after a loss.
const MIN_LEASE: Duration = Duration::from_secs(3);

/// Time that a lease lasts beyond two heartbeats of the upstream: the age of the lease when a grant
/// is made, and how late a heartbeat usually comes.
const LEASE_SLACK: Duration = Duration::from_secs(1);

/// Lease requests in one lease, so that some may be lost.
const REQUESTS: u32 = 5;

/// How much longer a second may last on one daemon's clock than on another's.
const DRIFT_PPM: u32 = 1_000;

/// Time over which joins are spread: with 46 members, those of the largest known service, one each 45 ms,
/// in which a join is read and written. Traffic starts 8 s after the machines do.
const JOIN_SPREAD: Duration = Duration::from_secs(2);

/// How long one turn to move slices lasts: three round trips to the store from a slow machine.
const TURN: Duration = Duration::from_millis(200);

/// The timing for upstreams that send a heartbeat every `beat`.
///
/// Grants travel in the answers to heartbeats only, so that a lease has to span two of them: one
/// that comes late must not cost the keys. A machine that is lost leaves its keys unserved for as
/// long as the lease.
pub(crate) fn timing(beat: Duration) -> Timing {
    let lease = (beat * 2 + LEASE_SLACK).max(MIN_LEASE);
    Timing {
        lease,
        heartbeat: lease / REQUESTS,
        suspicion: lease * 4 / 5,
        drift_ppm: DRIFT_PPM,
        join_spread: JOIN_SPREAD,
        turn: TURN,
    }
}
