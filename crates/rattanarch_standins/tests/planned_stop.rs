//! A daemon that stops as planned completes its requests and releases its keys.
//!
//! Guards against aborted requests, and against keys that are unserved until a takeover.

mod support;

use std::thread;
use std::time::Duration;

use rattanarch_standins::moved_slices;

#[test]
fn stopped_under_load() {
    let mut fleet = support::start_fleet(5);
    let before = fleet.record("trade-desk").unwrap();
    support::slow_upstreams(&fleet);
    let load = support::start_load(&fleet, 10);
    thread::sleep(Duration::from_secs(2));
    let status = fleet.slots[0].stop_daemon(support::TIMEOUT).unwrap();
    assert!(status.unwrap().success(), "{status:?}");
    // The daemon releases its slices before it ends; they are not taken over afterwards.
    let after = fleet.record("trade-desk").unwrap();
    assert!(after.members.values().all(|member| member.instance != "trade-desk-1"), "{after:?}");
    assert!(after.owners.iter().all(Option::is_some), "{after:?}");
    let report = support::finish_load(&fleet, load);
    eprintln!("slices moved: {}", moved_slices(&before, &after));
    let is_aborted = |outcome: &str| {
        let settled = outcome == "200" || outcome.ends_with("not-run");
        !settled && !outcome.starts_with("connect:")
    };
    let aborted: u64 =
        report.answers.iter().filter(|(outcome, _)| is_aborted(outcome)).map(|(_, n)| n).sum();
    assert_eq!(aborted, 0, "{report}");
}
