//! Shared helpers of the tests that interrupt connections.

#[path = "../support/load.rs"]
mod load;

pub(crate) use load::TIMEOUT;
pub(crate) use load::finish_load;
#[allow(unused_imports, reason = "not used by all tests")]
pub(crate) use load::slow_upstreams;
pub(crate) use load::start_load;
use rattanarch_standins::Fleet;
use rattanarch_standins::ServicePlan;

/// Starts a fleet of the co-op's keyed service with relays between its processes, and waits until it
/// serves.
pub(crate) fn start_relayed_fleet(instances: usize) -> Fleet {
    let plans = [ServicePlan::trade_desk(instances)];
    let fleet = Fleet::start_with_relays(&plans).expect("a started fleet");
    fleet.wait_balanced("trade-desk", TIMEOUT).expect("evenly shared slices");
    fleet.wait_serving(TIMEOUT).expect("a serving fleet");
    fleet
}
