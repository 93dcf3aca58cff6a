//! An owner is killed while the platform is down: its keys stay unserved until the platform is back,
//! and the keys of the other owners are served throughout.
//!
//! A takeover needs the platform. Until then, requests for the killed owner's keys must be refused as
//! not run, with a time to retry.

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

/// Number of keys that are requested during the outage.
const KEYS: usize = 40;

/// Duration of the outage after the owner is killed; longer than a takeover.
const OUTAGE_TIME: Duration = Duration::from_secs(4);

fn faults(down: bool) -> PlatformFaults {
    PlatformFaults { down: Some(down), ..PlatformFaults::default() }
}

/// Status, verdict, retry time and reason of a response.
type Response = (u16, Option<String>, Option<String>, Option<String>);

/// Reads a key through a daemon.
fn read(address: SocketAddr, key: &str) -> Response {
    let config = ureq::Agent::config_builder().http_status_as_error(false).proxy(None).build();
    let url = format!("http://{address}/trade-desk/stock/{key}");
    let agent = ureq::Agent::new_with_config(config);
    let response = agent.get(&url).header("rattanarch-key", key).call().expect("a response");
    let field =
        |name: &str| response.headers().get(name).map(|v| v.to_str().expect("text").to_owned());
    (
        response.status().as_u16(),
        field(Verdict::HEADER),
        field("retry-after"),
        field("proxy-status"),
    )
}

fn boot_of(record: &Record, instance: &str) -> BootId {
    *record.members.iter().find(|(_, member)| member.instance == instance).expect("a member").0
}

#[test]
fn owner_killed_meanwhile() {
    let mut fleet = support::start_fleet(5);
    let before = support::wait_for_witnesses(&fleet);
    let killed = boot_of(&before, "trade-desk-1");
    let load = support::start_load(&fleet, 10);
    fleet.set_platform_faults(faults(true)).unwrap();
    thread::sleep(Duration::from_secs(1));
    fleet.slots[0].daemon().unwrap().kill().unwrap();
    thread::sleep(OUTAGE_TIME);
    let mut unserved = 0;
    for key in (0..KEYS).map(|number| format!("key-{number}")) {
        let (status, verdict, retry, reason) = read(fleet.slots[1].caller_address(), &key);
        if before.owner_of(hash_key(&key)) != Some(killed) {
            assert_eq!(status, 200, "{key}: a running owner does not serve: {reason:?}");
            continue;
        }
        unserved += 1;
        assert_eq!((status, verdict.as_deref()), (503, Some("not-run")), "{key}");
        assert!(retry.is_some(), "{key}: no retry time");
    }
    assert!(unserved > 0, "none of the keys belongs to the killed owner");
    eprintln!("{unserved} of {KEYS} keys were unserved during the outage");
    fleet.set_platform_faults(faults(false)).unwrap();
    let after = fleet.wait_reassigned("trade-desk", "trade-desk-1", support::TIMEOUT).unwrap();
    eprintln!("slices moved: {}", moved_slices(&before, &after));
    support::finish_load(&fleet, load);
    fleet.slots.remove(0);
    fleet.wait_serving(support::TIMEOUT).unwrap();
}
