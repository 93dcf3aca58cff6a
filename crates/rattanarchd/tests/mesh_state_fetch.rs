//! Configurations that a daemon behind a narrow link fetches from its peers.

mod mesh_support;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use mesh_support::Peers;
use mesh_support::Site;
use rattanarch_adapter_standins::FILES;
use rattanarch_adapter_standins::Store;
use rattanarch_adapter_standins::StoreProxy;
use rattanarch_adapter_standins::ThrottledLink;
use rattanarch_adapter_standins::large_configuration;

/// Time within which a configuration has to be in force.
const APPLY_BOUND: Duration = Duration::from_millis(2_500);

/// Rate that downloads leave of a link of 11 Mbit/s, in megabits per second.
const LINK_MEGABITS: f64 = 3.0;

/// Number of peers that announce each version: as many as had fetches in progress at the same time on the deployment.
const PEERS: usize = 10;

/// Versions of the storm: ten in 4.4 s.
const VERSIONS: std::ops::Range<u64> = 6..16;

/// Time between two versions of the storm.
const VERSION_INTERVAL: Duration = Duration::from_millis(440);

/// First version with the additional routes.
const LARGE_VERSION: u64 = 8;

/// Additional routes of a large configuration, which has about 250 kB and takes 0.7 s on the link.
const ROUTES: usize = 1_400;

/// Time between two digests from peers, as two followers and gossip send them.
const DIGEST_INTERVAL: Duration = Duration::from_millis(100);

/// Starts a daemon with version 5 and cuts it off from the store.
fn start_cut_off() -> Site {
    let store = Store::start();
    store.configure(5);
    let proxy = StoreProxy::start(store.address);
    let mut site = Site::empty(store);
    site.add_with_store(FILES, "files-0", "centre-0", proxy.address);
    mesh_support::wait_until("the daemon serves", || site.get(0, "/files/a", "f", 1).status == 200);
    proxy.cut();
    site
}

/// Sends digests from the peers in turn, for `limit` or until `condition` holds; returns how long that took.
fn send_until(
    peers: &Peers,
    site: &Site,
    limit: Duration,
    condition: impl Fn() -> bool,
) -> Duration {
    let began = Instant::now();
    let mut count = 0;
    while began.elapsed() < limit && !condition() {
        thread::sleep(DIGEST_INTERVAL);
        count += 1;
        peers.send_digest(count, site.daemons[0].addresses.datagrams);
    }
    began.elapsed()
}

/// Ten versions follow each other faster than the link can carry them. The last has to be in force within the bound,
/// although fetches of earlier versions occupy the link.
#[test]
fn storm_applied() {
    let site = start_cut_off();
    let peers = Peers::start(PEERS, &ThrottledLink::new(LINK_MEGABITS));
    let datagrams = site.daemons[0].addresses.datagrams;
    for version in VERSIONS {
        let routes = if version < LARGE_VERSION { 0 } else { ROUTES };
        peers.set_configuration(large_configuration(version, &format!("/v{version}/"), routes));
        peers.send_digests(datagrams);
        if version + 1 < VERSIONS.end {
            send_until(&peers, &site, VERSION_INTERVAL, || false);
        }
    }
    let version = format!("version\":{}", VERSIONS.end - 1);
    let in_force = || site.daemons[0].log().lines().any(|line| is_in_force(line, &version));
    let elapsed = send_until(&peers, &site, APPLY_BOUND * 2, in_force);
    let counts =
        format!("{} fetches, {} at the same time", peers.fetches(), peers.max_concurrent_fetches());
    assert!(elapsed < APPLY_BOUND, "last version not in force for {elapsed:?}: {counts}");
    assert_ne!(site.get(0, "/v15/a", "n", 1).status, 404);
}

/// Has `peers` announce version 8 with the additional routes; returns how long it took until it was in force.
fn apply_large(site: &Site, peers: &Peers) -> Duration {
    peers.set_configuration(large_configuration(LARGE_VERSION, "/v8/", ROUTES));
    peers.send_digests(site.daemons[0].addresses.datagrams);
    let in_force = || {
        site.daemons[0]
            .log()
            .lines()
            .any(|line| is_in_force(line, &format!("version\":{LARGE_VERSION}")))
    };
    send_until(peers, site, APPLY_BOUND * 2, in_force)
}

/// A fetch that is slow but never stalls must not be aborted: 250 kB take 1.5 s on this link.
#[test]
fn slow_fetch() {
    let site = start_cut_off();
    let peers = Peers::start(PEERS, &ThrottledLink::new(1.35));
    let elapsed = apply_large(&site, &peers);
    assert!(elapsed < APPLY_BOUND, "not in force for {elapsed:?}");
    assert_eq!(peers.fetches(), 1);
}

/// If a peer stalls in the middle of its response, the fetch is aborted and another peer is used.
#[test]
fn stalled_peer() {
    let site = start_cut_off();
    let peers = Peers::start(2, &ThrottledLink::new(LINK_MEGABITS));
    peers.stall_first();
    peers.set_configuration(large_configuration(LARGE_VERSION, "/v8/", ROUTES));
    peers.send_digest(0, site.daemons[0].addresses.datagrams);
    mesh_support::wait_until("the first fetch has begun", || peers.fetches() == 1);
    let elapsed = apply_large(&site, &peers);
    assert!(elapsed < APPLY_BOUND, "not in force for {elapsed:?}");
    assert!(site.daemons[0].log().contains("silent after"), "{}", site.daemons[0].log());
}

fn is_in_force(line: &str, version: &str) -> bool {
    line.contains("configuration in force") && line.contains(version)
}
