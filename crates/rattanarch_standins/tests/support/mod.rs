//! Shared helpers of the failure tests.

mod load;

pub(crate) use load::TIMEOUT;
pub(crate) use load::finish_load;
#[allow(unused_imports, reason = "not used by all tests")]
pub(crate) use load::slow_upstreams;
pub(crate) use load::start_load;
#[allow(unused_imports, reason = "not used by all tests")]
pub(crate) use load::wait_for_witnesses;
use rattanarch_standins::Fleet;
use rattanarch_standins::ServicePlan;

/// Starts a fleet of the co-op's keyed service and waits until it serves.
pub(crate) fn start_fleet(instances: usize) -> Fleet {
    let fleet = Fleet::start(&[ServicePlan::trade_desk(instances)]).expect("a started fleet");
    fleet.wait_balanced("trade-desk", TIMEOUT).expect("evenly shared slices");
    fleet.wait_serving(TIMEOUT).expect("a serving fleet");
    fleet
}
