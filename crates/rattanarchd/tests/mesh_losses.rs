//! Losses of daemons, upstreams, machines and the store.

mod mesh_support;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use mesh_support::Site;
use mesh_support::busy_peer;
use mesh_support::wait_until;
use rattanarch_adapter_standins::DESK;
use rattanarch_adapter_standins::FILES;
use rattanarch_adapter_standins::Store;
use rattanarch_adapter_standins::StoreProxy;
use rattanarch_adapter_standins::Upstream;

/// Asserts that no two upstreams hold the same key.
fn assert_exclusive(site: &Site) {
    let mut held: Vec<_> = site.upstreams.iter().flat_map(Upstream::held).collect();
    held.sort_unstable();
    assert!(held.windows(2).all(|pair| pair[0].1 < pair[1].0), "{held:?}");
}

/// If a machine is lost without a planned stop, the others take over its keys, and no two hold the same key.
#[test]
fn machine_lost() {
    let mut site = Site::start(4, 0);
    site.daemons[0].kill();
    let mut lost = site.upstreams.remove(0);
    lost.stop();
    wait_until("the others hold its keys", || {
        assert_exclusive(&site);
        site.held_keys() == 65_536
    });
}

/// If an upstream crashes and its daemon lives on, the others take over its keys. The upstream's next life, which is
/// cold and holds no keys, gets keys again.
#[test]
fn upstream_crash() {
    let mut site = Site::start(3, 0);
    let address = site.daemons[0].addresses;
    site.upstreams[0].stop();
    wait_until("the others hold its keys", || {
        // The daemon notices that nothing listens at the upstream's address when it sends requests there.
        site.get(1, "/stock/crayfish", "x", 1);
        site.get(1, "/stock/crayfish", "x", 40_000);
        site.upstreams[1].held_keys() + site.upstreams[2].held_keys() == 65_536
    });
    site.upstreams[0] = Upstream::start(DESK, "i-desk-0-2", address.upstream, address.control);
    wait_until("its next life holds keys", || site.upstreams[0].held_keys() > 0);
    site.wait_served();
    assert_exclusive(&site);
}

/// While the store is down, daemons continue to serve and to renew their leases. Once it is up, they apply changes
/// again.
#[test]
fn store_down() {
    let site = Site::start(3, 0);
    site.store.set_down(true);
    thread::sleep(Duration::from_secs(4));
    assert_eq!(site.held_keys(), 65_536, "leases are renewed");
    assert_eq!(site.get(0, "/stock/crayfish", "s1", 9).status, 200);
    site.store.set_down(false);
    site.store.evacuate("centre-1");
    wait_until("the data centre is evacuated", || {
        site.upstreams[1].held_keys() == 0 && site.held_keys() == 65_536
    });
    site.store.end_evacuation("centre-1");
    wait_until("the data centre has keys again", || site.upstreams[1].held_keys() > 0);
}

/// After a loss of all daemons and upstreams, their new lives start from the stored record, and every fence is higher
/// than those before the loss.
#[test]
fn all_daemons_lost() {
    let mut site = Site::start(3, 0);
    let before = site.upstreams.iter().flat_map(Upstream::held).map(|held| held.2).max().unwrap();
    for index in 0..3 {
        site.daemons[index].kill();
        site.upstreams[index].stop();
    }
    for index in 0..3 {
        site.daemons[index].restart();
        let address = site.daemons[index].addresses;
        let id = format!("i-desk-{index}-2");
        site.upstreams[index] = Upstream::start(DESK, &id, address.upstream, address.control);
    }
    site.wait_served();
    assert_exclusive(&site);
    let fences = site.upstreams.iter().flat_map(Upstream::held).map(|held| held.2);
    assert!(fences.min().unwrap() > before);
}

/// If stale reads of the store are older than the history that it keeps, every watch fails at once. Daemons must not
/// list and watch in a busy loop.
#[test]
fn stale_behind_history() {
    let site = Site::start(2, 0);
    site.store.set_lag(100);
    site.store.configure_prefix(9, "/prices/");
    site.store.clear_history();
    wait_until("the new route is in force", || site.get(0, "/prices/a", "p", 3).status == 200);
    let before = site.store.calls();
    thread::sleep(Duration::from_secs(2));
    let calls = site.store.calls() - before;
    // Two daemons that each list and watch again every 150 ms, the shortest delay after a failure.
    assert!(calls < 54, "{calls} calls in 2 s");
}

/// A change is learned even if the store's history, which watches continue from, is removed right after it.
#[test]
fn history_cleared() {
    let site = Site::start(2, 0);
    site.store.configure_prefix(9, "/prices/");
    site.store.clear_history();
    wait_until("the new route is in force everywhere", || {
        (0..2).all(|daemon| {
            site.get(daemon, "/prices/crayfish", "p", 3).status == 200
                && site.get(daemon, "/stock/crayfish", "q", 3).status == 404
        })
    });
}

/// A request to a machine that does not respond must not wait until its deadline: it goes to another instance.
#[test]
fn silent_machine() {
    let site = Site::start(1, 1);
    site.wait_members(FILES, 1);
    let mut record = site.store.record(FILES).expect("the service has a record");
    let mut silent = record["members"][0].clone();
    silent["boot"] = "5".into();
    silent["instance"] = "ghost".into();
    silent["data_centre"] = "centre-0".into();
    silent["caller"] = busy_peer(None).to_string().into();
    silent["witnesses"] = serde_json::json!([]);
    record["version"] = (record["version"].as_u64().expect("version is a number") + 1).into();
    record["members"].as_array_mut().expect("members are an array").push(silent);
    // The instance that responds is in another data centre, so that the silent one is tried first.
    record["members"][0]["data_centre"] = "centre-9".into();
    site.store.put_record(FILES, &record);
    thread::sleep(Duration::from_millis(500));
    let start = Instant::now();
    let response = site.get(0, "/files/customs", "g1", 0);
    assert_eq!((response.status, response.stamped), (200, true), "{response:?}");
    assert!(start.elapsed() < Duration::from_millis(1_200), "{:?}", start.elapsed());
    assert!(
        start.elapsed() > Duration::from_millis(300),
        "the silent instance was not tried first"
    );
}

/// If the store refuses one machine only, the upstream of that machine can still leave: its daemon hands the keys over
/// through a peer.
#[test]
fn store_through_peer() {
    let store = Store::start();
    store.configure(5);
    let proxy = StoreProxy::start(store.address);
    let mut site = Site::empty(store);
    site.add_with_store(DESK, "desk-0", "centre-0", proxy.address);
    site.add(DESK, "desk-1", "centre-1");
    site.add(DESK, "desk-2", "centre-2");
    site.wait_served();
    proxy.cut();
    site.upstreams[0].drain();
    wait_until("the others hold its keys", || {
        assert_exclusive(&site);
        site.upstreams[0].held_keys() == 0 && site.held_keys() == 65_536
    });
}
