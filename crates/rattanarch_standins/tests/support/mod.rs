//! What the failure tests share.

mod load;

pub(crate) use load::LIMIT;
pub(crate) use load::judge;
pub(crate) use load::load;
#[allow(unused_imports, reason = "not every test wants it")]
pub(crate) use load::slow_down;
#[allow(unused_imports, reason = "not every test wants it")]
pub(crate) use load::wait_witnessed;
use rattanarch_standins::Fleet;
use rattanarch_standins::ServicePlan;

/// A fleet of the co-op's keyed service that serves.
pub(crate) fn trade_desk(instances: usize) -> Fleet {
    let fleet = Fleet::start(&[ServicePlan::trade_desk(instances)]).expect("a started fleet");
    fleet.wait_balanced("trade-desk", LIMIT).expect("a fleet with even shares");
    fleet.wait_serving(LIMIT).expect("a serving fleet");
    fleet
}
