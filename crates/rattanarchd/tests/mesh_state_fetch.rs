//! Configurations that come in quick succession to a daemon behind a narrow link.

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

/// What downloads leave of a link of 11 Mbit/s.
const LINK: f64 = 3.0;

/// Peers that tell a daemon of each version: as many as fetched at a time on the deployment.
const PEERS: usize = 10;

/// Versions of the storm and the time between them: ten in 4.4 s.
const VERSIONS: std::ops::Range<u64> = 6..16;
const GAP: Duration = Duration::from_millis(440);

/// Version from which on there are 1,400 routes more: some 250 kB, which take 0.7 s on the link.
const LARGE: u64 = 8;
const ROUTES: usize = 1_400;

/// Time between two words of peers: beacons of two followers and gossip.
const WORD: Duration = Duration::from_millis(100);

/// A daemon that serves by version 5 and reaches the store no more.
fn cut_off() -> Site {
    let store = Store::start();
    store.configure(5);
    let path = StoreProxy::start(store.address);
    let mut site = Site::empty(store);
    site.add_at(FILES, "files-0", "centre-0", path.address);
    mesh_support::wait_until("it serves", || site.ask(0, "/files/a", "f", 1).status == 200);
    path.cut();
    site
}

/// Tells `daemon` again and again what the peers know, for `time` or until `holds`; returns how long that took.
fn repeat(peers: &Peers, site: &Site, time: Duration, holds: impl Fn() -> bool) -> Duration {
    let began = Instant::now();
    let mut words = 0;
    while began.elapsed() < time && !holds() {
        thread::sleep(WORD);
        words += 1;
        peers.tell_from(words, site.daemons[0].addresses.datagrams);
    }
    began.elapsed()
}

/// A storm of versions, all but the first with many routes: the last is in force within the bound.
#[test]
fn storm_in_force() {
    let site = cut_off();
    let peers = Peers::start(PEERS, &ThrottledLink::new(LINK));
    let datagrams = site.daemons[0].addresses.datagrams;
    for version in VERSIONS {
        let routes = if version < LARGE { 0 } else { ROUTES };
        peers.learn(large_configuration(version, &format!("/v{version}/"), routes));
        peers.tell(datagrams);
        if version + 1 < VERSIONS.end {
            repeat(&peers, &site, GAP, || false);
        }
    }
    let told = format!("version\":{}", VERSIONS.end - 1);
    let in_force = || site.daemons[0].log().lines().any(|line| is_in_force(line, &told));
    let took = repeat(&peers, &site, APPLY_BOUND * 2, in_force);
    let fetched = format!("{} fetches, {} at a time", peers.fetches(), peers.most_fetches());
    assert!(took < APPLY_BOUND, "last version not in force for {took:?}: {fetched}");
    assert_ne!(site.ask(0, "/v15/a", "n", 1).status, 404);
}

/// Version 8 with many routes, told by `peers`: how long until it is in force.
fn one_large(site: &Site, peers: &Peers) -> Duration {
    peers.learn(large_configuration(LARGE, "/v8/", ROUTES));
    peers.tell(site.daemons[0].addresses.datagrams);
    let in_force = || {
        site.daemons[0].log().lines().any(|line| is_in_force(line, &format!("version\":{LARGE}")))
    };
    repeat(peers, site, APPLY_BOUND * 2, in_force)
}

/// A fetch that takes long, but never pauses, is not broken off: 250 kB take 1.5 s on this link.
#[test]
fn slow_but_steady() {
    let site = cut_off();
    let peers = Peers::start(PEERS, &ThrottledLink::new(1.35));
    let took = one_large(&site, &peers);
    assert!(took < APPLY_BOUND, "not in force for {took:?}");
    assert_eq!(peers.fetches(), 1);
}

/// A peer that falls silent in the midst of its answer is given up for another one.
#[test]
fn silent_peer() {
    let site = cut_off();
    let peers = Peers::start(2, &ThrottledLink::new(LINK));
    peers.silence_first();
    peers.learn(large_configuration(LARGE, "/v8/", ROUTES));
    peers.tell_from(0, site.daemons[0].addresses.datagrams);
    mesh_support::wait_until("it is asked", || peers.fetches() == 1);
    let took = one_large(&site, &peers);
    assert!(took < APPLY_BOUND, "not in force for {took:?}");
    assert!(site.daemons[0].log().contains("silent after"), "{}", site.daemons[0].log());
}

fn is_in_force(line: &str, version: &str) -> bool {
    line.contains("configuration in force") && line.contains(version)
}
