//! Configuration changes, which daemons send to each other instead of the full configuration.

mod mesh_support;

use std::thread;
use std::time::Duration;

use mesh_support::PeerResponse;
use mesh_support::Peers;
use mesh_support::Site;
use mesh_support::wait_until;
use rattanarch_adapter_standins::FILES;
use rattanarch_adapter_standins::Store;
use rattanarch_adapter_standins::StoreProxy;
use rattanarch_adapter_standins::ThrottledLink;
use rattanarch_adapter_standins::large_configuration;
use rattanarch_dissemination::ConfigurationChange;
use rattanarch_dissemination::VersionHash;
use serde_json::Value;
use serde_json::json;

/// Rate of the peer's link in megabits per second: too fast to delay these tests.
const LINK_MEGABITS: f64 = 100.0;

/// Additional routes of a large configuration, which has about 250 kB.
const ROUTES: usize = 1_400;

/// Starts a daemon with version 5, cuts it off from the store, and waits until it has fetched version 8 from a peer.
/// The peer sends `response` if the daemon asks for changes.
fn fetch_newer(response: PeerResponse) -> (Site, Peers) {
    let store = Store::start();
    store.configure(5);
    let proxy = StoreProxy::start(store.address);
    let mut site = Site::empty(store);
    site.add_with_store(FILES, "files-0", "centre-0", proxy.address);
    wait_until("the daemon serves", || site.get(0, "/files/a", "f", 1).status == 200);
    proxy.cut();
    let peers = Peers::start(1, &ThrottledLink::new(LINK_MEGABITS));
    peers.set_configuration(newer());
    peers.respond_with(response);
    peers.send_digests(site.daemons[0].addresses.datagrams);
    wait_until("the version is in force", || {
        metric(&site, 0, "rattanarch_configuration_version") == 8
    });
    assert_eq!(site.get(0, "/stock/a", "old", 1).status, 404);
    assert_ne!(site.get(0, "/v8/a", "new", 1).status, 404);
    assert_eq!(site.get(0, "/files/a", "kept", 1).status, 200);
    (site, peers)
}

fn newer() -> Value {
    large_configuration(8, "/v8/", 3)
}

/// Returns the change from `older` to version 8, as it is sent.
fn change_from(older: &Value) -> Value {
    let newer = newer();
    let version = older["version"].as_u64().expect("version is a number");
    let hashes = (VersionHash::new(version, older), VersionHash::new(8, &newer));
    let change = ConfigurationChange::between((hashes.0, older), (hashes.1, &newer));
    serde_json::to_value([change.expect("the version is later")]).expect("change is serialized")
}

/// Returns the value of the first metric of `daemon` that begins with `name`; 0 if there is none.
fn metric(site: &Site, daemon: usize, name: &str) -> u64 {
    site.metric(daemon, name).unwrap_or_default() as u64
}

fn change_count(site: &Site, daemon: usize, outcome: &str) -> u64 {
    let name = format!("rattanarch_configuration_changes_total{{outcome=\"{outcome}\"}}");
    metric(site, daemon, &name)
}

fn fetch_count(site: &Site, outcome: &str) -> u64 {
    metric(site, 0, &format!("rattanarch_state_fetches_total{{outcome=\"{outcome}\"}}"))
}

/// Changes with the right base come into force, and the full configuration is not fetched.
#[test]
fn changes_applied() {
    let (site, peers) =
        fetch_newer(PeerResponse::Changes(change_from(&large_configuration(5, "/stock/", 0))));
    assert_eq!((change_count(&site, 0, "taken"), peers.full_responses()), (1, 0));
}

/// Changes of another configuration with the same version are counted, and the full configuration is fetched at once.
#[test]
fn other_base() {
    let (site, peers) =
        fetch_newer(PeerResponse::Changes(change_from(&large_configuration(5, "/else/", 1))));
    assert_eq!((change_count(&site, 0, "misfit"), peers.full_responses()), (1, 1));
    assert_eq!((change_count(&site, 0, "taken"), peers.fetches()), (0, 2));
}

/// Changes whose result has another hash than they state are counted, and the full configuration is fetched.
#[test]
fn wrong_hash() {
    let mut changes = change_from(&large_configuration(5, "/stock/", 0));
    changes[0]["to"]["hash"] = 7.into();
    let (site, peers) = fetch_newer(PeerResponse::Changes(changes));
    assert_eq!((change_count(&site, 0, "misfit"), peers.full_responses()), (1, 1));
}

/// A malformed response is counted, and the full configuration is fetched.
#[test]
fn malformed_response() {
    let (site, peers) = fetch_newer(PeerResponse::Malformed);
    assert_eq!((fetch_count(&site, "spoilt"), peers.fetches()), (1, 2));
}

/// A truncated response is counted, and the full configuration is fetched.
#[test]
fn truncated_response() {
    let (site, peers) = fetch_newer(PeerResponse::Truncated);
    assert_eq!((fetch_count(&site, "spoilt"), peers.fetches()), (1, 2));
}

/// A daemon that is cut off from the store gets changes from another one: a changed route among 1,400 takes a few
/// kilobytes. After a restart it gets the full configuration.
#[test]
fn changes_relayed() {
    let store = Store::start();
    store.configure(5);
    let proxy = StoreProxy::start(store.address);
    let mut site = Site::empty(store);
    site.add(FILES, "files-0", "centre-0");
    site.add_with_store(FILES, "files-1", "centre-1", proxy.address);
    site.wait_members(FILES, 2);
    wait_until("both daemons serve", || {
        (0..2).all(|index| site.get(index, "/files/a", "f", 1).status == 200)
    });
    proxy.cut();
    let version = |index| metric(&site, index, "rattanarch_configuration_version");
    site.store.configure_large(6, "/stock/", ROUTES);
    wait_until("the routes are in force", || version(1) == 6);
    let before = metric(&site, 1, "rattanarch_state_bytes");
    site.store.configure_large(7, "/v7/", ROUTES);
    wait_until("the change is in force", || version(1) == 7);
    let bytes = metric(&site, 1, "rattanarch_state_bytes") - before;
    assert!(bytes < 10_000, "{bytes} bytes for one route");
    assert_eq!((change_count(&site, 1, "taken"), change_count(&site, 1, "misfit")), (2, 0));
    site.daemons[1].kill();
    site.daemons[1].restart();
    wait_until("the restarted daemon has version 7", || {
        site.is_ready(site.daemons[1].addresses.ready)
            && metric(&site, 1, "rattanarch_configuration_version") == 7
    });
    assert_eq!(change_count(&site, 1, "taken"), 0);
}

/// A daemon that is sending as many configurations as its link of 8 Mbit/s can take omits the configuration from
/// further responses, but nothing else, until they have been sent.
#[test]
fn configuration_omitted() {
    let store = Store::start();
    store.configure_large(6, "/stock/", ROUTES);
    let mut site = Site::empty(store);
    site.add(FILES, "files-0", "centre-0");
    site.wait_members(FILES, 1);
    wait_until("the daemon serves", || site.get(0, "/files/a", "f", 1).status == 200);
    let peers = site.daemons[0].addresses.peers;
    let fetch = || -> Value {
        let request = json!({ "configuration": 0, "evacuated": 0, "records": {} }).to_string();
        let response = ureq::post(format!("http://{peers}/rattanarch/state")).send(request);
        let text = response
            .expect("daemon responds")
            .body_mut()
            .read_to_string()
            .expect("response is text");
        serde_json::from_str(&text).expect("response is JSON")
    };
    let snapshots: Vec<Value> = (0..8).map(|_| fetch()).collect();
    assert_eq!(snapshots[0]["configuration"]["version"], 6);
    let partial: Vec<&Value> = snapshots.iter().filter(|s| s["put_off"] == true).collect();
    assert!(!partial.is_empty());
    assert!(partial.iter().all(|snapshot| snapshot["configuration"].is_null()));
    assert!(partial.iter().all(|snapshot| snapshot["records"] == snapshots[0]["records"]));
    thread::sleep(Duration::from_secs(1));
    assert_eq!(fetch()["configuration"]["version"], 6);
}
