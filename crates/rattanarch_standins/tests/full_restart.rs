//! All daemons of a fleet are killed and restarted at the same time; the fleet must serve again.
//!
//! All members in the record are then processes that no longer run, and so are their witnesses.

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
