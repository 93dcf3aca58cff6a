//! Durations of the lease protocol.

use std::time::Duration;

/// Durations of the lease protocol; the same in every member of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// How long one majority of acknowledgements lets an owner serve, from its send.
    pub lease: Duration,
    /// Time between two lease requests of an owner; at most a third of `lease`.
    pub heartbeat: Duration,
    /// Silence after which a witness asks for a seal; less than `lease`.
    pub suspicion: Duration,
    /// How much longer a second may last on one clock than on another, in parts per million.
    pub drift_ppm: u32,
    /// Time over which the joins of nodes that start together are spread: each is a conditional update
    /// of one object, and those that meet cost a call each and a pause.
    pub join_spread: Duration,
    /// How long one turn to move slices lasts before the next member may take it.
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
    /// `duration` as the slowest clock within the drift bound may measure it.
    pub fn with_drift(&self, duration: Duration) -> Duration {
        let extra = duration.as_nanos() * u128::from(self.drift_ppm) / 1_000_000;
        duration + Duration::from_nanos(extra as u64)
    }
}
