//! One simulated process.

use std::time::Duration;

use rattanarch_ownership::Action;
use rattanarch_ownership::Batcher;
use rattanarch_ownership::Event;
use rattanarch_ownership::Node;
use rattanarch_ownership::Serving;
use rattanarch_types::Fence;
use rattanarch_types::KeyHash;
use rattanarch_types::Moment;

/// A daemon's process: a node, its clock, and events and actions that wait while it is paused.
pub struct Process {
    pub slot: usize,
    pub node: Node,
    /// Change requests that it writes for others.
    pub batcher: Batcher,
    /// Fence that its requests carry.
    pub fence: Fence,
    pub seed: u64,
    /// Local clock: its reading at true time 0, and its drift in parts per million.
    pub origin: Duration,
    pub drift_ppm: i64,
    pub is_alive: bool,
    /// True time until which the process is paused, in microseconds.
    pub paused_until: u64,
    pub inbox: Vec<Event>,
    /// Actions that the node returned just before a pause.
    pub pending_actions: Vec<Action>,
    pub has_left: bool,
    /// Latest end of a grant that its upstream may have.
    pub grant_end: Moment,
    /// Whether it has drained all requests and asked a daemon to write its departure.
    pub departing: bool,
    /// Serving state at the last check.
    pub last_checked: Serving,
}

impl Process {
    /// Reading of this process's clock at true time `now`, in microseconds.
    pub fn clock(&self, now: u64) -> Moment {
        local_time(self.origin, self.drift_ppm, now)
    }

    /// Whether a request for `hash` could start at true time `now`, in microseconds.
    pub fn serves(&self, now: u64, hash: KeyHash) -> bool {
        self.is_alive && self.node.serving().check(self.clock(now), hash).is_ok()
    }
}

/// Reading at true time `now`, in microseconds, of a clock with this reading at time 0 and this drift.
pub(crate) fn local_time(origin: Duration, drift_ppm: i64, now: u64) -> Moment {
    let now = i64::try_from(now).unwrap_or(i64::MAX);
    let local = now + now * drift_ppm / 1_000_000;
    origin + Duration::from_micros(local.unsigned_abs())
}
