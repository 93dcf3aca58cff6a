//! An owner that was paused beyond the end of its lease serves nothing under its old grant after it
//! resumes.
//!
//! Its keys have new owners by then. If it ran the requests that waited in its sockets, a key would be
//! served by two owners.

mod support;

use std::thread;
use std::time::Duration;

use rattanarch_standins::moved_slices;

#[test]
fn paused_past_lease() {
    let mut fleet = support::start_fleet(5);
    let before = fleet.record("trade-desk").unwrap();
    support::slow_upstreams(&fleet);
    let load = support::start_load(&fleet, 10);
    thread::sleep(Duration::from_secs(2));
    fleet.slots[0].daemon().unwrap().pause().unwrap();
    let after = fleet.wait_reassigned("trade-desk", "trade-desk-1", support::TIMEOUT).unwrap();
    // Requests sent to the owner meanwhile wait in its sockets until it resumes.
    thread::sleep(Duration::from_secs(1));
    fleet.slots[0].daemon().unwrap().resume().unwrap();
    support::finish_load(&fleet, load);
    eprintln!("slices moved: {}", moved_slices(&before, &after));
    fleet.wait_serving(support::TIMEOUT).unwrap();
    let members = fleet.record("trade-desk").unwrap().members;
    let rejoined = members.iter().find(|(_, member)| member.instance == "trade-desk-1").unwrap().0;
    assert!(!before.members.contains_key(rejoined), "the owner rejoined under its old boot id");
}
