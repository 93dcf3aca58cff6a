//! A daemon that is asked to stop cuts no request and releases its keys.

mod support;

use std::thread;
use std::time::Duration;

use rattanarch_standins::moved_slices;

#[test]
fn stopped_under_load() {
    let mut fleet = support::trade_desk(5);
    let before = fleet.record("trade-desk").unwrap();
    support::slow_down(&fleet);
    let load = support::load(&fleet, 10);
    thread::sleep(Duration::from_secs(2));
    let status = fleet.slots[0].stop_daemon(support::LIMIT).unwrap();
    assert!(status.unwrap().success(), "{status:?}");
    // Released by itself before its end, not taken over after it.
    let after = fleet.record("trade-desk").unwrap();
    assert!(after.members.values().all(|member| member.instance != "trade-desk-1"), "{after:?}");
    assert!(after.owners.iter().all(Option::is_some), "{after:?}");
    let report = support::judge(&fleet, load);
    eprintln!("slices moved: {}", moved_slices(&before, &after));
    let cut = |answer: &str| {
        let settled = answer == "200" || answer.ends_with("not-run");
        !settled && !answer.starts_with("connect:")
    };
    let cut: u64 = report.answers.iter().filter(|(answer, _)| cut(answer)).map(|(_, n)| n).sum();
    assert_eq!(cut, 0, "{report}");
}
