//! A write whose answer is lost is settled by reading back.

mod support;

use std::thread;
use std::time::Duration;

use rattanarch_standins::PlatformFaults;

#[test]
fn lost_takeover() {
    let mut fleet = support::trade_desk(5);
    let load = support::load(&fleet, 8);
    thread::sleep(Duration::from_secs(1));
    let lose = PlatformFaults { lose_answers: Some(2), ..PlatformFaults::default() };
    fleet.set_platform_faults(lose).unwrap();
    fleet.slots[0].daemon().unwrap().kill().unwrap();
    fleet.wait_without("trade-desk", "trade-desk-1", support::LIMIT).unwrap();
    support::judge(&fleet, load);
    fleet.slots.remove(0);
    fleet.wait_serving(support::LIMIT).unwrap();
}
