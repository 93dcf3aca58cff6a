//! A fleet whose daemons are all killed and restarted at the same time serves again.

mod support;

use std::thread;
use std::time::Duration;

#[test]
fn restart_all() {
    let mut fleet = support::start_fleet(5);
    let load = support::start_load(&fleet, 12);
    thread::sleep(Duration::from_secs(2));
    for slot in &mut fleet.slots {
        slot.daemon().unwrap().kill().unwrap();
    }
    for slot in 0..fleet.slots.len() {
        fleet.restart_daemon(slot).unwrap();
    }
    fleet.wait_serving(support::TIMEOUT).unwrap();
    support::finish_load(&fleet, load);
}
