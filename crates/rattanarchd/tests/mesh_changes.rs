//! Changes of the configuration that daemons tell each other in place of the whole.

mod mesh_support;

use std::thread;
use std::time::Duration;

use mesh_support::Peers;
use mesh_support::Site;
use mesh_support::Told;
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

/// A link that delays nothing here.
const LINK: f64 = 100.0;

/// Routes of a large configuration: some 250 kB.
const ROUTES: usize = 1_400;

/// A daemon that serves by version 5, reaches the store no more, and hears of version 8 from a peer.
fn told(told: Told) -> (Site, Peers) {
    let store = Store::start();
    store.configure(5);
    let path = StoreProxy::start(store.address);
    let mut site = Site::empty(store);
    site.add_at(FILES, "files-0", "centre-0", path.address);
    wait_until("it serves", || site.ask(0, "/files/a", "f", 1).status == 200);
    path.cut();
    let peers = Peers::start(1, &ThrottledLink::new(LINK));
    peers.learn(newer());
    peers.answer(told);
    peers.tell(site.daemons[0].addresses.datagrams);
    wait_until("the version is in force", || {
        count(&site, 0, "rattanarch_configuration_version") == 8
    });
    assert_eq!(site.ask(0, "/stock/a", "old", 1).status, 404);
    assert_ne!(site.ask(0, "/v8/a", "new", 1).status, 404);
    assert_eq!(site.ask(0, "/files/a", "kept", 1).status, 200);
    (site, peers)
}

fn newer() -> Value {
    large_configuration(8, "/v8/", 3)
}

/// How `older` becomes version 8, in the form in which it travels.
fn change(older: &Value) -> Value {
    let newer = newer();
    let version = older["version"].as_u64().expect("a version");
    let bases = (VersionHash::new(version, older), VersionHash::new(8, &newer));
    let change = ConfigurationChange::between((bases.0, older), (bases.1, &newer));
    serde_json::to_value([change.expect("a later version")]).expect("it has a form")
}

/// Value of the metric of `daemon` that begins with `name`; 0 if there is none.
fn count(site: &Site, daemon: usize, name: &str) -> u64 {
    let metrics = site.metrics(daemon);
    let line = metrics.lines().find(|line| line.starts_with(name));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or_default()
}

fn changes(site: &Site, daemon: usize, outcome: &str) -> u64 {
    let name = format!("rattanarch_configuration_changes_total{{outcome=\"{outcome}\"}}");
    count(site, daemon, &name)
}

fn fetches(site: &Site, outcome: &str) -> u64 {
    count(site, 0, &format!("rattanarch_state_fetches_total{{outcome=\"{outcome}\"}}"))
}

/// Changes that fit are in force, and the whole is not sent.
#[test]
fn taken() {
    let (site, peers) = told(Told::Changes(change(&large_configuration(5, "/stock/", 0))));
    assert_eq!((changes(&site, 0, "taken"), peers.wholes()), (1, 0));
}

/// Changes of another configuration under the same number are counted, and the whole is fetched at once.
#[test]
fn other_base() {
    let (site, peers) = told(Told::Changes(change(&large_configuration(5, "/else/", 1))));
    assert_eq!((changes(&site, 0, "misfit"), peers.wholes()), (1, 1));
    assert_eq!((changes(&site, 0, "taken"), peers.fetches()), (0, 2));
}

/// The same for changes that make something else than they say.
#[test]
fn altered() {
    let mut altered = change(&large_configuration(5, "/stock/", 0));
    altered[0]["to"]["hash"] = 7.into();
    let (site, peers) = told(Told::Changes(altered));
    assert_eq!((changes(&site, 0, "misfit"), peers.wholes()), (1, 1));
}

/// An answer that can't be read is counted, and the whole is fetched.
#[test]
fn malformed() {
    let (site, peers) = told(Told::Malformed);
    assert_eq!((fetches(&site, "spoilt"), peers.fetches()), (1, 2));
}

/// The same for one that breaks off.
#[test]
fn cut_short() {
    let (site, peers) = told(Told::CutShort);
    assert_eq!((fetches(&site, "spoilt"), peers.fetches()), (1, 2));
}

/// A daemon that has lost the store gets from another one what differs: a changed route among 1,400 takes a few
/// kilobytes. One that starts gets the whole.
#[test]
fn passed_on() {
    let store = Store::start();
    store.configure(5);
    let path = StoreProxy::start(store.address);
    let mut site = Site::empty(store);
    site.add(FILES, "files-0", "centre-0");
    site.add_at(FILES, "files-1", "centre-1", path.address);
    site.wait_members(FILES, 2);
    wait_until("they serve", || {
        (0..2).all(|index| site.ask(index, "/files/a", "f", 1).status == 200)
    });
    path.cut();
    let version = |index| count(&site, index, "rattanarch_configuration_version");
    site.store.configure_large(6, "/stock/", ROUTES);
    wait_until("the routes are in force", || version(1) == 6);
    let before = count(&site, 1, "rattanarch_state_bytes");
    site.store.configure_large(7, "/v7/", ROUTES);
    wait_until("the change is in force", || version(1) == 7);
    let bytes = count(&site, 1, "rattanarch_state_bytes") - before;
    assert!(bytes < 10_000, "{bytes} bytes for one route");
    assert_eq!((changes(&site, 1, "taken"), changes(&site, 1, "misfit")), (2, 0));
    site.daemons[1].kill();
    site.daemons[1].restart();
    wait_until("it knows it again", || {
        site.is_ready(site.daemons[1].addresses.ready)
            && count(&site, 1, "rattanarch_configuration_version") == 7
    });
    assert_eq!(changes(&site, 1, "taken"), 0);
}

/// A daemon that sends as many configurations as its link of 8 Mbit/s bears leaves them out of further answers, but
/// not the rest, until they have left.
#[test]
fn put_off() {
    let store = Store::start();
    store.configure_large(6, "/stock/", ROUTES);
    let mut site = Site::empty(store);
    site.add(FILES, "files-0", "centre-0");
    site.wait_members(FILES, 1);
    wait_until("it serves", || site.ask(0, "/files/a", "f", 1).status == 200);
    let peers = site.daemons[0].addresses.peers;
    let fetch = || -> Value {
        let question = json!({ "configuration": 0, "evacuated": 0, "records": {} }).to_string();
        let answer = ureq::post(format!("http://{peers}/rattanarch/state")).send(question);
        let text = answer.expect("an answer").body_mut().read_to_string().expect("a text");
        serde_json::from_str(&text).expect("a snapshot")
    };
    let answers: Vec<Value> = (0..8).map(|_| fetch()).collect();
    assert_eq!(answers[0]["configuration"]["version"], 6);
    let left_out: Vec<&Value> = answers.iter().filter(|answer| answer["put_off"] == true).collect();
    assert!(!left_out.is_empty());
    assert!(left_out.iter().all(|answer| answer["configuration"].is_null()));
    assert!(left_out.iter().all(|answer| answer["records"] == answers[0]["records"]));
    thread::sleep(Duration::from_secs(1));
    assert_eq!(fetch()["configuration"]["version"], 6);
}
