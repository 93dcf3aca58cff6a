//! A daemon that is asked to stop cuts no request and releases its keys.

mod support;

use std::thread;
use std::time::Duration;

use rattanarch_standins::moved_slices;

#[test]
fn stopped_under_load() {
    let mut fleet = support::trade_desk(5);
    let before = fleet.record("trade-desk").unwrap();
    let load = support::load(&fleet, 10);
    thread::sleep(Duration::from_secs(2));
    let status = fleet.slots[0].stop_daemon(support::LIMIT).unwrap();
    assert!(status.unwrap().success(), "{status:?}");
    let after = fleet.wait_without("trade-desk", "trade-desk-1", support::LIMIT).unwrap();
    let report = support::judge(&fleet, load);
    eprintln!("slices moved: {}", moved_slices(&before, &after));
    let cut = |answer: &str| {
        let settled = answer == "200" || answer.ends_with("not-run");
        !settled && !answer.starts_with("connect:")
    };
    let cut: u64 = report.answers.iter().filter(|(answer, _)| cut(answer)).map(|(_, n)| n).sum();
    assert_eq!(cut, 0, "{report}");
}
