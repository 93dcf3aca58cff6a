//! Load of a member, and what it cannot serve in time.

use std::time::Duration;

use rattanarch_types::BootId;

/// Slots counted at most: with more, queueing hardly depends on their number.
const MAX_SLOTS: u32 = 128;

/// Lower bound of a cost, for a member whose requests have taken no measurable time.
const MIN_REQUEST_COST: f64 = 1e-6;

/// Load of a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberLoad {
    /// The member.
    pub member: BootId,
    /// Offered load as a part of the capacity of its slots; above 1 if it is overloaded.
    pub utilization: f64,
    /// Part of its capacity that one request per second takes; higher on a slower machine.
    pub request_cost: f64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Time during which no member serves a slice that is given to this member now.
    pub gap: Duration,
}

impl MemberLoad {
    /// Requests a second that it cannot serve in time at `utilization`.
    pub(crate) fn late_rate(&self, utilization: f64) -> f64 {
        utilization / self.request_cost.max(MIN_REQUEST_COST) * late_ratio(self.slots, utilization)
    }
}

/// Ratio of the requests that find all `slots` taken and half as many requests waiting, which is half a service time of
/// waiting, when requests arrive at random (M/M/c/K). Defined on both sides of full utilization.
fn late_ratio(slots: u32, utilization: f64) -> f64 {
    let slots = slots.clamp(1, MAX_SLOTS);
    // Erlang's loss formula by its recursion, then the states with waiting requests.
    let offered = f64::from(slots) * utilization.max(0.0);
    let blocked = (1..=slots)
        .map(f64::from)
        .fold(1.0, |blocked, slot| offered * blocked / (slot + offered * blocked));
    (0..slots.div_ceil(2))
        .fold(blocked, |blocked, _| utilization * blocked / (1.0 + utilization * blocked))
}
