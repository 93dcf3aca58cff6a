//! What the tests with cuts share.

#[path = "../support/load.rs"]
mod load;

pub(crate) use load::LIMIT;
pub(crate) use load::judge;
pub(crate) use load::load;
#[allow(unused_imports, reason = "not every test wants it")]
pub(crate) use load::slow_down;
use rattanarch_standins::Fleet;
use rattanarch_standins::ServicePlan;

/// A fleet of the co-op's keyed service that serves and can be cut.
pub(crate) fn relayed_desk(instances: usize) -> Fleet {
    let plans = [ServicePlan::trade_desk(instances)];
    let fleet = Fleet::start_with_relays(&plans).expect("a started fleet");
    fleet.wait_balanced("trade-desk", LIMIT).expect("a fleet with even shares");
    fleet.wait_serving(LIMIT).expect("a serving fleet");
    fleet
}
