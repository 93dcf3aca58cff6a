//! Several changes of the evacuated data centres at once.

mod mesh_support;

use std::thread;
use std::time::Duration;

use mesh_support::Peers;
use mesh_support::Site;
use mesh_support::wait_until;
use rattanarch_adapter_standins::FILES;
use rattanarch_adapter_standins::Store;
use rattanarch_adapter_standins::ThrottledLink;
use serde_json::Value;
use serde_json::json;

/// Rate of the peer's link in megabits per second: too fast to delay these tests.
const LINK_MEGABITS: f64 = 100.0;

/// Bound of the users' deployments on the time until an evacuation is in force.
const EVACUATE_BOUND: Duration = Duration::from_secs(5);

/// The evacuated data centres that a daemon knows, and the revision that it tells its peers.
fn evacuated(site: &Site, daemon: usize) -> (u64, Vec<String>) {
    let peers = site.daemons[daemon].addresses.peers;
    let request = json!({ "configuration": 0, "evacuated": 0, "records": {} }).to_string();
    let response = ureq::post(format!("http://{peers}/rattanarch/state")).send(request);
    let text = response.expect("daemon responds").body_mut().read_to_string();
    let state: Value = serde_json::from_str(&text.expect("response is text")).expect("it is JSON");
    let evacuated = &state["evacuated"];
    let centres = evacuated["centres"].as_array().into_iter().flatten();
    let centres = centres.map(|name| name.as_str().expect("a name is text").to_owned());
    (evacuated["revision"].as_u64().unwrap_or_default(), centres.collect())
}

/// Waits until all daemons know `centres` as evacuated; panics after the bound.
fn wait_evacuated(site: &Site, centres: &[&str]) {
    let end = std::time::Instant::now() + EVACUATE_BOUND;
    while (0..site.daemons.len()).any(|daemon| evacuated(site, daemon).1 != centres) {
        assert!(
            std::time::Instant::now() < end,
            "{centres:?} not evacuated: {:?}",
            evacuated(site, 0)
        );
        thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against a lost evacuation: of several changes in one response of the store, only the first was applied, so
/// that a data centre that was evacuated as another one was taken back kept getting requests.
#[test]
fn changes_together() {
    let site = Site::start(1, 3);
    site.store.evacuate("centre-0");
    wait_evacuated(&site, &["centre-0"]);
    site.store.move_evacuation("centre-0", "centre-1");
    wait_evacuated(&site, &["centre-1"]);
    // The same data centre, taken back and evacuated again.
    site.store.move_evacuation("centre-1", "centre-1");
    site.store.move_evacuation("centre-1", "centre-2");
    wait_evacuated(&site, &["centre-2"]);
}

/// Guards against a stale set from a peer: a follower that had seen an evacuation end and begin again in one response
/// kept the revision of before, and took a peer's set from between the two as newer.
#[test]
fn overtaken_set() {
    let store = Store::start();
    store.configure(5);
    let mut site = Site::empty(store);
    site.add(FILES, "files-0", "centre-0");
    wait_until("the daemon serves", || site.get(0, "/files/a", "f", 1).status == 200);
    site.store.evacuate("centre-1");
    wait_evacuated(&site, &["centre-1"]);
    let (revision, _) = evacuated(&site, 0);
    site.store.move_evacuation("centre-1", "centre-1");
    thread::sleep(Duration::from_millis(500));
    let peers = Peers::start(1, &ThrottledLink::new(LINK_MEGABITS));
    peers.set_evacuated(revision + 1, &[]);
    peers.send_digests(site.daemons[0].addresses.datagrams);
    wait_until("the peer's set was overtaken", || evacuated(&site, 0).0 > revision + 1);
    assert_eq!(evacuated(&site, 0).1, ["centre-1"]);
}

/// A peer's set at a position that no store can have is ignored: later sets would never be above it.
#[test]
fn position_out_of_range() {
    let site = Site::start(1, 1);
    let peers = Peers::start(1, &ThrottledLink::new(LINK_MEGABITS));
    peers.set_evacuated(u64::MAX, &["centre-1"]);
    peers.send_digests(site.daemons[0].addresses.datagrams);
    wait_until("the set was fetched", || {
        site.daemons[0].log().contains("peer's evacuations malformed")
    });
    site.store.evacuate("centre-2");
    wait_evacuated(&site, &["centre-2"]);
}
