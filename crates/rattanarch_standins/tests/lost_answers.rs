//! A write without an answer is settled by reading back, whether it took effect or not.

mod support;

use std::thread;
use std::time::Duration;

use rattanarch_standins::PlatformFaults;

/// Kills an owner while the platform shows `faults`; its keys are served by others all the same.
fn take_over_despite(faults: PlatformFaults) {
    let mut fleet = support::trade_desk(5);
    let load = support::load(&fleet, 8);
    thread::sleep(Duration::from_secs(1));
    fleet.set_platform_faults(faults).expect("faults taken");
    fleet.slots[0].daemon().expect("a daemon").kill().expect("a killed daemon");
    fleet.wait_reassigned("trade-desk", "trade-desk-1", support::LIMIT).expect("a takeover");
    support::judge(&fleet, load);
    fleet.slots.remove(0);
    fleet.wait_serving(support::LIMIT).expect("a serving fleet");
}

#[test]
fn lost_answer() {
    take_over_despite(PlatformFaults { lose_answers: Some(2), ..PlatformFaults::default() });
}

#[test]
fn lost_request() {
    take_over_despite(PlatformFaults { lose_requests: Some(2), ..PlatformFaults::default() });
}

#[test]
fn lost_release() {
    let mut fleet = support::trade_desk(5);
    support::slow_down(&fleet);
    let load = support::load(&fleet, 10);
    thread::sleep(Duration::from_secs(1));
    let faults = PlatformFaults { lose_answers: Some(2), ..PlatformFaults::default() };
    fleet.set_platform_faults(faults).unwrap();
    let status = fleet.slots[0].stop_daemon(support::LIMIT).unwrap();
    assert!(status.unwrap().success(), "{status:?}");
    support::judge(&fleet, load);
    fleet.slots.remove(0);
    fleet.wait_serving(support::LIMIT).unwrap();
}
