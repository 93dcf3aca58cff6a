//! Bad input from the platform's side.

mod mesh_support;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use mesh_support::Site;
use mesh_support::wait_until;
use rattanarch_adapter_standins::DESK;
use rattanarch_adapter_standins::FILES;
use rattanarch_adapter_standins::post;
use rattanarch_adapter_standins::send_heartbeat;
use rattanarch_adapter_standins::send_raw_heartbeat;
use serde_json::json;

/// Heartbeats of other writers are rejected, and the upstream's own go on counting.
#[test]
fn foreign_heartbeats() {
    let site = Site::start(1, 0);
    let control = site.daemons[0].addresses.control;
    for body in ["", "{", "[]", "{\"address\":5}", "{\"address\":\"10.0.0.1:5\",\"info\":{}}"] {
        assert!(send_raw_heartbeat(control, "i-other", body).contains(" 400 "), "{body:?}");
    }
    let elsewhere = SocketAddr::from(([10, 0, 0, 1], 5));
    assert!(send_heartbeat(control, "i-other", elsewhere, u64::MAX).contains(" 400 "));
    assert!(post(control, "/elsewhere", "").contains(" 404 "));
    thread::sleep(Duration::from_millis(600));
    assert_eq!(site.held_keys(), 65_536);
}

/// A heartbeat of an ended life, delivered late, changes nothing.
#[test]
fn late_heartbeat() {
    let site = Site::start(1, 0);
    let addresses = site.daemons[0].addresses;
    let answer = send_heartbeat(addresses.control, "i-desk-0-0", addresses.upstream, 1000);
    assert!(answer.contains(" 409 "), "{answer}");
    thread::sleep(Duration::from_millis(600));
    assert_eq!(site.held_keys(), 65_536);
    assert_eq!(site.ask(0, "/stock/crayfish", "h1", 3).status, 200);
}

/// A configuration that makes no sense, and objects of other writers, leave the last good ones in force.
#[test]
fn senseless_objects() {
    let site = Site::start(2, 0);
    site.store.configure_malformed(99);
    site.store.put_record("elsewhere", &json!({ "service": 5 }));
    site.store.put_record("nothing", &json!(null));
    wait_until("the daemon has said so", || {
        site.daemons.iter().all(|daemon| daemon.log().contains("configuration malformed"))
    });
    assert_eq!(site.ask(0, "/stock/crayfish", "o1", 3).status, 200);
    assert_eq!(site.held_keys(), 65_536);
}

/// A request for another service that finds this daemon's address in that one's record is refused, not
/// run: addresses are used again, and records of services whose members are all lost stay.
#[test]
fn reused_address() {
    let site = Site::start(1, 0);
    let mut record = site.store.record(DESK).unwrap();
    record["service"] = FILES.into();
    record["owners"] = json!([]);
    site.store.put_record(FILES, &record);
    thread::sleep(Duration::from_millis(500));
    let answer = site.ask(0, "/files/customs", "r1", 3);
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(site.run_ids().is_empty());
}
