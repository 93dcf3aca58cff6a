//! When all daemons of a data centre are killed at once, its keys move to the other data centres, and
//! no key has two owners.
//!
//! A member that loses most of its witnesses with the data centre needs the platform for its takeover. The
//! test therefore first waits until each member has enough witnesses outside.

mod support;

use std::thread;
use std::time::Duration;

use rattanarch_standins::moved_slices;
use rattanarch_types::Record;

/// Data centre that is killed.
const DATA_CENTRE: &str = "nordkuehl";

/// Members of the data centre whose takeover would need the platform, because most of their witnesses
/// are in the same data centre.
fn at_risk(record: &Record) -> Vec<&str> {
    let is_inside = |boot| record.members[boot].data_centre == DATA_CENTRE;
    let members = record.members.iter().filter(|(boot, _)| is_inside(boot));
    let at_risk = members.filter(|(_, member)| {
        let inside = member.witnesses.iter().filter(|boot| is_inside(boot)).count();
        inside * 2 > member.witnesses.len()
    });
    at_risk.map(|(_, member)| &*member.instance).collect()
}

#[test]
fn centre_killed() {
    let mut fleet = support::start_fleet(8);
    // Members that joined at the same time get better witnesses one by one, each after a heartbeat
    // without a change of the record; in the end no member may be at risk.
    let what = "witnesses outside the data centre for all of its members";
    let safe = |record: &Record| at_risk(record).is_empty();
    let before = fleet.wait_record("trade-desk", what, support::TIMEOUT, safe).unwrap();
    support::slow_upstreams(&fleet);
    let load = support::start_load(&fleet, 7);
    thread::sleep(Duration::from_secs(2));
    fleet.kill_data_centre(DATA_CENTRE).unwrap();
    let what = "owners outside the killed data centre for all slices";
    let after = fleet.wait_record("trade-desk", what, support::TIMEOUT, |record| {
        let outside = |boot| record.members[boot].data_centre != DATA_CENTRE;
        record.owners.iter().all(|owner| owner.as_ref().is_some_and(outside))
    });
    let after = after.unwrap();
    eprintln!("slices moved: {}", moved_slices(&before, &after));
    let report = support::finish_load(&fleet, load);
    assert!(report.succeeded() > 0);
    assert_eq!(fleet.slots.len(), 6);
    fleet.wait_serving(support::TIMEOUT).unwrap();
}
