//! One process in the fake world.

use std::time::Duration;

use rattanarch_ownership::Action;
use rattanarch_ownership::Batcher;
use rattanarch_ownership::Event;
use rattanarch_ownership::Node;
use rattanarch_ownership::Serving;
use rattanarch_types::Fence;
use rattanarch_types::KeyHash;
use rattanarch_types::Moment;

/// A daemon's process: a node, its clock, and what waits while it is paused.
pub struct Process {
    pub slot: usize,
    pub node: Node,
    /// Joins that it writes for others.
    pub gatherer: Batcher,
    /// Fence that its requests carry.
    pub fence: Fence,
    pub seed: u64,
    /// Local clock: an origin, and how many millionths longer or shorter its seconds are.
    pub origin: Duration,
    pub drift_ppm: i64,
    pub is_alive: bool,
    /// True time until which nothing runs.
    pub paused: u64,
    pub inbox: Vec<Event>,
    pub undone: Vec<Action>,
    pub has_left: bool,
    /// Latest end of a grant that its upstream may hold.
    pub granted: Moment,
    /// Whether it has asked others to write its departure, having ended all work.
    pub departing: bool,
    /// What it served when it was last checked.
    pub checked: Serving,
}

impl Process {
    /// Reading of this process's clock at true time `now`.
    pub fn clock(&self, now: u64) -> Moment {
        let now = i64::try_from(now).unwrap_or(i64::MAX);
        let local = now + now * self.drift_ppm / 1_000_000;
        self.origin + Duration::from_micros(local.unsigned_abs())
    }

    /// Whether a request for `hash` could start at true time `now`.
    pub fn serves(&self, now: u64, hash: KeyHash) -> bool {
        self.is_alive && self.node.serving().check(self.clock(now), hash).is_ok()
    }
}
