//! An owner that was paused past its lease serves nothing on the old grant when it goes on.

mod support;

use std::thread;
use std::time::Duration;

use rattanarch_standins::moved_slices;

#[test]
fn paused_past_lease() {
    let mut fleet = support::trade_desk(5);
    let before = fleet.record("trade-desk").unwrap();
    support::slow_down(&fleet);
    let load = support::load(&fleet, 10);
    thread::sleep(Duration::from_secs(2));
    fleet.slots[0].daemon().unwrap().pause().unwrap();
    let after = fleet.wait_reassigned("trade-desk", "trade-desk-1", support::LIMIT).unwrap();
    // Requests that were sent to it meanwhile wait in its sockets, and are read when it goes on.
    thread::sleep(Duration::from_secs(1));
    fleet.slots[0].daemon().unwrap().resume().unwrap();
    support::judge(&fleet, load);
    eprintln!("slices moved: {}", moved_slices(&before, &after));
    fleet.wait_serving(support::LIMIT).unwrap();
    let members = fleet.record("trade-desk").unwrap().members;
    let back = members.iter().find(|(_, member)| member.instance == "trade-desk-1").unwrap().0;
    assert!(!before.members.contains_key(back), "it came back as the same life");
}
