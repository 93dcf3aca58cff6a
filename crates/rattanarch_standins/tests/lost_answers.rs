//! When the response to a write at the platform is lost, the daemon reads the object to learn whether the
//! write took effect.
//!
//! A daemon that assumed either outcome could leave keys unserved or serve keys that it does not own.

mod support;

use std::thread;
use std::time::Duration;

use rattanarch_standins::PlatformFaults;

/// Kills an owner while the platform has `faults`; other members must serve its keys.
fn take_over_with(faults: PlatformFaults) {
    let mut fleet = support::start_fleet(5);
    let load = support::start_load(&fleet, 8);
    thread::sleep(Duration::from_secs(1));
    fleet.set_platform_faults(faults).expect("the platform accepts the faults");
    fleet.slots[0].daemon().expect("a daemon").kill().expect("the daemon is killed");
    fleet.wait_reassigned("trade-desk", "trade-desk-1", support::TIMEOUT).expect("a takeover");
    support::finish_load(&fleet, load);
    fleet.slots.remove(0);
    fleet.wait_serving(support::TIMEOUT).expect("a serving fleet");
}

#[test]
fn lost_response() {
    take_over_with(PlatformFaults { lose_answers: Some(2), ..PlatformFaults::default() });
}

#[test]
fn lost_request() {
    take_over_with(PlatformFaults { lose_requests: Some(2), ..PlatformFaults::default() });
}

#[test]
fn lost_release() {
    let mut fleet = support::start_fleet(5);
    support::slow_upstreams(&fleet);
    let load = support::start_load(&fleet, 10);
    thread::sleep(Duration::from_secs(1));
    let faults = PlatformFaults { lose_answers: Some(2), ..PlatformFaults::default() };
    fleet.set_platform_faults(faults).unwrap();
    let status = fleet.slots[0].stop_daemon(support::TIMEOUT).unwrap();
    assert!(status.unwrap().success(), "{status:?}");
    support::finish_load(&fleet, load);
    fleet.slots.remove(0);
    fleet.wait_serving(support::TIMEOUT).unwrap();
}
