//! Durations of the lease protocol.

use std::time::Duration;

/// Durations of the lease protocol; the same in every member of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// How long an owner may serve after it sent a request that a majority of its witnesses acknowledged.
    pub lease: Duration,
    /// Interval between lease requests of an owner; at most a third of `lease`.
    pub heartbeat: Duration,
    /// Silence of an owner after which a witness starts to seal it; less than `lease`.
    pub suspicion: Duration,
    /// Bound on the drift between two clocks, in parts per million: how much longer a second may last on one.
    pub drift_ppm: u32,
    /// Time over which the joins of nodes that start together are spread. Each is a conditional update of the same
    /// object, and each that loses its race costs a call and a backoff.
    pub join_spread: Duration,
    /// Delay between the members that may move slices one after the other.
    pub turn: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(1_200),
            heartbeat: Duration::from_millis(400),
            suspicion: Duration::from_millis(1_000),
            drift_ppm: 1_000,
            join_spread: Duration::from_millis(200),
            turn: Duration::from_secs(1),
        }
    }
}

impl Timing {
    /// Longest time, on this clock, in which another clock within the drift bound may advance by `duration`.
    pub fn with_drift(&self, duration: Duration) -> Duration {
        let extra = duration.as_nanos() * u128::from(self.drift_ppm) / 1_000_000;
        duration + Duration::from_nanos(extra as u64)
    }
}
