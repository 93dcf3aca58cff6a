//! Losses on the platform: daemons, upstreams, the store.

mod mesh_support;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use mesh_support::Site;
use mesh_support::busy_machine;
use mesh_support::wait_until;
use rattanarch_adapter_standins::DESK;
use rattanarch_adapter_standins::FILES;
use rattanarch_adapter_standins::Store;
use rattanarch_adapter_standins::StoreProxy;
use rattanarch_adapter_standins::Upstream;

/// No key is held by two upstreams at a time.
fn assert_sole_holders(site: &Site) {
    let mut held: Vec<_> = site.upstreams.iter().flat_map(Upstream::held).collect();
    held.sort_unstable();
    assert!(held.windows(2).all(|pair| pair[0].1 < pair[1].0), "{held:?}");
}

/// A machine that is lost without a word loses its keys to the others, never to two at a time.
#[test]
fn machine_lost() {
    let mut site = Site::start(4, 0);
    site.daemons[0].kill();
    let mut lost = site.upstreams.remove(0);
    lost.stop();
    wait_until("its keys are with others", || {
        assert_sole_holders(&site);
        site.held_keys() == 65_536
    });
}

/// An upstream that crashes beside a living daemon is known to be gone, and its next life, cold and
/// with no keys, is taken in.
#[test]
fn upstream_crash() {
    let mut site = Site::start(3, 0);
    let address = site.daemons[0].addresses;
    site.upstreams[0].stop();
    wait_until("its keys are with others", || {
        // Requests show that no one listens there any more.
        site.ask(1, "/stock/crayfish", "x", 1);
        site.ask(1, "/stock/crayfish", "x", 40_000);
        site.upstreams[1].held_keys() + site.upstreams[2].held_keys() == 65_536
    });
    site.upstreams[0] = Upstream::start(DESK, "i-desk-0-2", address.upstream, address.control);
    wait_until("its next life holds keys", || site.upstreams[0].held_keys() > 0);
    site.wait_served();
    assert_sole_holders(&site);
}

/// While the store is away, daemons go on serving and renewing what is held; what changes meanwhile is
/// taken up once it is back.
#[test]
fn store_away() {
    let site = Site::start(3, 0);
    site.store.set_down(true);
    thread::sleep(Duration::from_secs(4));
    assert_eq!(site.held_keys(), 65_536, "longer than a lease");
    assert_eq!(site.ask(0, "/stock/crayfish", "s1", 9).status, 200);
    site.store.set_down(false);
    site.store.evacuate("centre-1");
    wait_until("the data centre is empty", || {
        site.upstreams[1].held_keys() == 0 && site.held_keys() == 65_536
    });
    site.store.end_evacuation("centre-1");
    wait_until("it has keys again", || site.upstreams[1].held_keys() > 0);
}

/// A power loss of everything: new lives take up the record, and every fence is above those before.
#[test]
fn all_lost() {
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
    assert_sole_holders(&site);
    let fences = site.upstreams.iter().flat_map(Upstream::held).map(|held| held.2);
    assert!(fences.min().unwrap() > before);
}

/// A store whose stale reads are older than the history that it keeps is not asked without pause.
#[test]
fn stale_behind_history() {
    let site = Site::start(2, 0);
    site.store.set_lag(100);
    site.store.configure_prefix(9, "/prices/");
    site.store.clear_history();
    wait_until("the new route is in force", || site.ask(0, "/prices/a", "p", 3).status == 200);
    let before = site.store.calls();
    thread::sleep(Duration::from_secs(2));
    let calls = site.store.calls() - before;
    // Two daemons that each list and watch again every 150 ms, the shortest pause after a failure.
    assert!(calls < 54, "{calls} calls in 2 s");
}

/// Changes made while watches are cut and the history goes are learned all the same.
#[test]
fn history_forgotten() {
    let site = Site::start(2, 0);
    site.store.configure_prefix(9, "/prices/");
    site.store.clear_history();
    wait_until("the new route is in force everywhere", || {
        (0..2).all(|daemon| {
            site.ask(daemon, "/prices/crayfish", "p", 3).status == 200
                && site.ask(daemon, "/stock/crayfish", "q", 3).status == 404
        })
    });
}

/// A request that waits for a machine which falls silent is not held until its deadline: it goes to
/// another instance.
#[test]
fn silent_machine() {
    let site = Site::start(1, 1);
    site.wait_members(FILES, 1);
    let mut record = site.store.record(FILES).expect("a record");
    let mut ghost = record["members"][0].clone();
    ghost["boot"] = "5".into();
    ghost["instance"] = "ghost".into();
    ghost["data_centre"] = "centre-0".into();
    ghost["caller"] = busy_machine(None).to_string().into();
    ghost["witnesses"] = serde_json::json!([]);
    record["version"] = (record["version"].as_u64().expect("a version") + 1).into();
    record["members"].as_array_mut().expect("members").push(ghost);
    // The instance that answers stands elsewhere, so that the silent one is tried first.
    record["members"][0]["data_centre"] = "centre-9".into();
    site.store.put_record(FILES, &record);
    thread::sleep(Duration::from_millis(500));
    let start = Instant::now();
    let answer = site.ask(0, "/files/customs", "g1", 0);
    assert_eq!((answer.status, answer.stamped), (200, true), "{answer:?}");
    assert!(start.elapsed() < Duration::from_millis(1_200), "{:?}", start.elapsed());
    assert!(start.elapsed() > Duration::from_millis(300), "the silent one was tried first");
}

/// A machine that the store turns away, and the others not, hands its keys over when its upstream leaves.
#[test]
fn store_through_peer() {
    let store = Store::start();
    store.configure(5);
    let path = StoreProxy::start(store.address);
    let mut site = Site::empty(store);
    site.add_at(DESK, "desk-0", "centre-0", path.address);
    site.add(DESK, "desk-1", "centre-1");
    site.add(DESK, "desk-2", "centre-2");
    site.wait_served();
    path.cut();
    site.upstreams[0].drain();
    wait_until("its keys are with others", || {
        assert_sole_holders(&site);
        site.upstreams[0].held_keys() == 0 && site.held_keys() == 65_536
    });
}
