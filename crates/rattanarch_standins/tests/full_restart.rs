//! All daemons are killed and started again at once.

mod support;

use std::thread;
use std::time::Duration;

#[test]
fn all_at_once() {
    let mut fleet = support::trade_desk(5);
    let load = support::load(&fleet, 12);
    thread::sleep(Duration::from_secs(2));
    for slot in &mut fleet.slots {
        slot.daemon().unwrap().kill().unwrap();
    }
    for slot in 0..fleet.slots.len() {
        fleet.restart_daemon(slot).unwrap();
    }
    fleet.wait_serving(support::LIMIT).unwrap();
    support::judge(&fleet, load);
}
