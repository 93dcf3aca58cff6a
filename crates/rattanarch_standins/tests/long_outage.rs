//! The platform is down while an owner dies: its keys wait, the others' go on.

mod support;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use rattanarch_standins::PlatformFaults;
use rattanarch_standins::moved_slices;
use rattanarch_types::BootId;
use rattanarch_types::Record;
use rattanarch_types::Verdict;
use rattanarch_types::hash_key;

/// Keys that are asked for during the outage.
const KEYS: usize = 40;

/// Time of the outage after the owner's death, longer than a takeover takes.
const OUTAGE: Duration = Duration::from_secs(4);

fn faults(down: bool) -> PlatformFaults {
    PlatformFaults { down: Some(down), ..PlatformFaults::default() }
}

/// Status, verdict, time to come back and reason of an answer.
type Answer = (u16, Option<String>, Option<String>, Option<String>);

/// A read at a daemon.
fn ask(address: SocketAddr, key: &str) -> Answer {
    let config = ureq::Agent::config_builder().http_status_as_error(false).proxy(None).build();
    let url = format!("http://{address}/trade-desk/stock/{key}");
    let agent = ureq::Agent::new_with_config(config);
    let answer = agent.get(&url).header("rattanarch-key", key).call().expect("an answer");
    let field =
        |name: &str| answer.headers().get(name).map(|v| v.to_str().expect("text").to_owned());
    (answer.status().as_u16(), field(Verdict::HEADER), field("retry-after"), field("proxy-status"))
}

fn boot_of(record: &Record, instance: &str) -> BootId {
    *record.members.iter().find(|(_, member)| member.instance == instance).expect("a member").0
}

#[test]
fn owner_dies_meanwhile() {
    let mut fleet = support::trade_desk(5);
    let before = support::wait_witnessed(&fleet);
    let dead = boot_of(&before, "trade-desk-1");
    let load = support::load(&fleet, 10);
    fleet.set_platform_faults(faults(true)).unwrap();
    thread::sleep(Duration::from_secs(1));
    fleet.slots[0].daemon().unwrap().kill().unwrap();
    thread::sleep(OUTAGE);
    let mut waiting = 0;
    for key in (0..KEYS).map(|number| format!("key-{number}")) {
        let (status, verdict, retry, reason) = ask(fleet.slots[1].caller_address(), &key);
        if before.owner_of(hash_key(&key)) != Some(dead) {
            assert_eq!(status, 200, "{key}: an owner that lives does not serve: {reason:?}");
            continue;
        }
        waiting += 1;
        assert_eq!((status, verdict.as_deref()), (503, Some("not-run")), "{key}");
        assert!(retry.is_some(), "{key}: no time to come back");
    }
    assert!(waiting > 0, "no key of the dead owner was asked for");
    eprintln!("{waiting} of {KEYS} keys waited for the platform");
    fleet.set_platform_faults(faults(false)).unwrap();
    let after = fleet.wait_reassigned("trade-desk", "trade-desk-1", support::LIMIT).unwrap();
    eprintln!("slices moved: {}", moved_slices(&before, &after));
    support::judge(&fleet, load);
    fleet.slots.remove(0);
    fleet.wait_serving(support::LIMIT).unwrap();
}
