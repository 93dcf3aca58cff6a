//! What the failure tests share.

mod load;

pub(crate) use load::LIMIT;
pub(crate) use load::judge;
pub(crate) use load::load;
use rattanarch_standins::Fleet;
use rattanarch_standins::ServicePlan;
use rattanarch_standins::UpstreamFaults;

/// A fleet of the co-op's keyed service that serves.
pub(crate) fn trade_desk(instances: usize) -> Fleet {
    let fleet = Fleet::start(&[ServicePlan::trade_desk(instances)]).expect("a started fleet");
    fleet.wait_shared("trade-desk", LIMIT).expect("a fleet with even shares");
    fleet.wait_serving(LIMIT).expect("a serving fleet");
    fleet
}

/// Makes work at all upstreams take longer, so that requests are under way at any time and two
/// owners of a key would be seen at work at one time.
#[allow(dead_code, reason = "not every test wants it")]
pub(crate) fn slow_down(fleet: &Fleet) {
    for slot in &fleet.slots {
        let faults = UpstreamFaults { delay_ms: Some(60), ..UpstreamFaults::default() };
        slot.set_faults(faults).expect("a slower upstream");
    }
}
