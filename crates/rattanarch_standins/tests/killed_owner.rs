//! An owner that is killed loses its keys to others, and to one other each.

mod support;

use std::thread;
use std::time::Duration;

use rattanarch_standins::moved_slices;

#[test]
fn killed_under_load() {
    let mut fleet = support::trade_desk(5);
    let before = fleet.record("trade-desk").unwrap();
    let load = support::load(&fleet, 8);
    thread::sleep(Duration::from_secs(2));
    fleet.slots[0].daemon().unwrap().kill().unwrap();
    let after = fleet.wait_reassigned("trade-desk", "trade-desk-1", support::LIMIT).unwrap();
    let report = support::judge(&fleet, load);
    eprintln!("slices moved: {}", moved_slices(&before, &after));
    assert!(report.succeeded() > 0);
    // What was the killed owner's is served by the others.
    let orphan = before.members.iter().find(|(_, member)| member.instance == "trade-desk-1");
    let orphan = *orphan.unwrap().0;
    assert!(before.slices_of(orphan).count() > 0);
    fleet.slots.remove(0);
    fleet.wait_serving(support::LIMIT).unwrap();
}

#[test]
fn killed_and_back() {
    let mut fleet = support::trade_desk(3);
    let load = support::load(&fleet, 6);
    thread::sleep(Duration::from_secs(1));
    fleet.slots[0].daemon().unwrap().kill().unwrap();
    fleet.restart_daemon(0).unwrap();
    support::judge(&fleet, load);
    fleet.wait_serving(support::LIMIT).unwrap();
}
