//! Durations of the ownership protocol on this platform.

use std::time::Duration;

use rattanarch_ownership::Timing;

/// Minimum lease. With a shorter one, leases that expire because of a late message cost more time than is saved when a
/// machine fails.
const MIN_LEASE: Duration = Duration::from_secs(3);

/// Time that a lease lasts beyond two heartbeats of the upstream. Covers the age of the lease when a grant is made,
/// and the usual delay of a heartbeat.
const LEASE_SLACK: Duration = Duration::from_secs(1);

/// Lease requests during one lease; several, so that some may be lost.
const REQUESTS_PER_LEASE: u32 = 5;

/// Maximum difference between the rates of two daemons' clocks, in parts per million.
const DRIFT_PPM: u32 = 1_000;

/// Time over which joins are spread. The largest known service has 46 members: one joins every 45 ms, which is enough
/// to read and write a join. Traffic starts 8 s after the machines do.
const JOIN_SPREAD: Duration = Duration::from_secs(2);

/// Duration of one member's turn to move slices: three round trips to the store from a slow machine.
const TURN_DURATION: Duration = Duration::from_millis(200);

/// The protocol's timing for upstreams that send a heartbeat every `heartbeat`.
///
/// Grants are sent only in responses to heartbeats. A lease has to span two of these, so that one late heartbeat does
/// not lose the keys. The keys of a machine that fails are unserved for the duration of the lease.
pub(crate) fn timing(heartbeat: Duration) -> Timing {
    let lease = (heartbeat * 2 + LEASE_SLACK).max(MIN_LEASE);
    Timing {
        lease,
        heartbeat: lease / REQUESTS_PER_LEASE,
        suspicion: lease * 4 / 5,
        drift_ppm: DRIFT_PPM,
        join_spread: JOIN_SPREAD,
        turn: TURN_DURATION,
    }
}
