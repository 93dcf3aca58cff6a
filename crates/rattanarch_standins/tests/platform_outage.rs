//! Owners keep serving during an outage of the platform, and the keys of an owner that is killed
//! meanwhile are served after the outage.
//!
//! Guards against owners that stop because they cannot reach the platform, and against a takeover that is
//! not completed after the outage.

mod support;

use std::thread;
use std::time::Duration;

use rattanarch_standins::PlatformFaults;

const DOWN: PlatformFaults = PlatformFaults {
    down: Some(true),
    refuse: None,
    delay_ms: None,
    lose_answers: None,
    lose_requests: None,
    stale_reads: None,
};

const UP: PlatformFaults = PlatformFaults { down: Some(false), ..DOWN };

#[test]
fn owners_unaffected() {
    let fleet = support::start_fleet(5);
    let before = fleet.record("trade-desk").unwrap();
    fleet.set_platform_faults(DOWN).unwrap();
    let report = support::finish_load(&fleet, support::start_load(&fleet, 8));
    assert_eq!(report.succeeded(), report.sent(), "{report}");
    fleet.set_platform_faults(UP).unwrap();
    assert_eq!(fleet.record("trade-desk").unwrap(), before);
}

#[test]
fn owner_killed() {
    let mut fleet = support::start_fleet(5);
    fleet.set_platform_faults(DOWN).unwrap();
    let load = support::start_load(&fleet, 10);
    thread::sleep(Duration::from_secs(1));
    fleet.slots[0].daemon().unwrap().kill().unwrap();
    thread::sleep(Duration::from_secs(4));
    fleet.set_platform_faults(UP).unwrap();
    fleet.wait_reassigned("trade-desk", "trade-desk-1", support::TIMEOUT).unwrap();
    support::finish_load(&fleet, load);
    fleet.slots.remove(0);
    fleet.wait_serving(support::TIMEOUT).unwrap();
}
