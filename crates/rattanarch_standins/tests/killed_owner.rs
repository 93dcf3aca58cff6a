//! The keys of a killed owner move to other members, and no key has two owners.
//!
//! Guards against keys that stay unserved, also when the daemon restarts before it has been taken over.

mod support;

use std::thread;
use std::time::Duration;

use rattanarch_standins::moved_slices;

#[test]
fn killed_under_load() {
    let mut fleet = support::start_fleet(5);
    let before = fleet.record("trade-desk").unwrap();
    let load = support::start_load(&fleet, 8);
    thread::sleep(Duration::from_secs(2));
    fleet.slots[0].daemon().unwrap().kill().unwrap();
    let after = fleet.wait_reassigned("trade-desk", "trade-desk-1", support::TIMEOUT).unwrap();
    let report = support::finish_load(&fleet, load);
    eprintln!("slices moved: {}", moved_slices(&before, &after));
    assert!(report.succeeded() > 0);
    // The other members serve the keys of the killed owner.
    let killed = before.members.iter().find(|(_, member)| member.instance == "trade-desk-1");
    let killed = *killed.unwrap().0;
    assert!(before.slices_of(killed).count() > 0);
    fleet.slots.remove(0);
    fleet.wait_serving(support::TIMEOUT).unwrap();
}

#[test]
fn killed_and_restarted() {
    let mut fleet = support::start_fleet(3);
    let load = support::start_load(&fleet, 6);
    thread::sleep(Duration::from_secs(1));
    fleet.slots[0].daemon().unwrap().kill().unwrap();
    fleet.restart_daemon(0).unwrap();
    support::finish_load(&fleet, load);
    fleet.wait_serving(support::TIMEOUT).unwrap();
}
