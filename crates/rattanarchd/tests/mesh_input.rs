//! Invalid input from upstreams and from the store.

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

/// Malformed heartbeats and those of upstreams on other machines are rejected. Those of the daemon's own upstream still
/// count.
#[test]
fn foreign_heartbeats() {
    let site = Site::start(1, 0);
    let control = site.daemons[0].addresses.control;
    for body in ["", "{", "[]", "{\"address\":5}", "{\"address\":\"10.0.0.1:5\",\"info\":{}}"] {
        assert!(send_raw_heartbeat(control, "i-other", body).contains(" 400 "), "{body:?}");
    }
    let other_host = SocketAddr::from(([10, 0, 0, 1], 5));
    assert!(send_heartbeat(control, "i-other", other_host, u64::MAX).contains(" 400 "));
    assert!(post(control, "/elsewhere", "").contains(" 404 "));
    thread::sleep(Duration::from_millis(600));
    assert_eq!(site.held_keys(), 65_536);
}

/// A late heartbeat of an upstream's earlier life is rejected and changes nothing.
#[test]
fn late_heartbeat() {
    let site = Site::start(1, 0);
    let addresses = site.daemons[0].addresses;
    let response = send_heartbeat(addresses.control, "i-desk-0-0", addresses.upstream, 1000);
    assert!(response.contains(" 409 "), "{response}");
    thread::sleep(Duration::from_millis(600));
    assert_eq!(site.held_keys(), 65_536);
    assert_eq!(site.get(0, "/stock/crayfish", "h1", 3).status, 200);
}

/// If the configuration and records in the store are malformed, the last valid ones stay in force.
#[test]
fn malformed_objects() {
    let site = Site::start(2, 0);
    site.store.configure_malformed(99);
    site.store.put_record("elsewhere", &json!({ "service": 5 }));
    site.store.put_record("nothing", &json!(null));
    wait_until("each daemon has logged the malformed configuration", || {
        site.daemons.iter().all(|daemon| daemon.log().contains("configuration malformed"))
    });
    assert_eq!(site.get(0, "/stock/crayfish", "o1", 3).status, 200);
    assert_eq!(site.held_keys(), 65_536);
}

/// A request for another service is refused without being run if that service's record names this daemon's address.
/// Addresses are reused, and the record of a service remains when all its members are lost.
#[test]
fn reused_address() {
    let site = Site::start(1, 0);
    let mut record = site.store.record(DESK).unwrap();
    record["service"] = FILES.into();
    record["owners"] = json!([]);
    site.store.put_record(FILES, &record);
    thread::sleep(Duration::from_millis(500));
    let response = site.get(0, "/files/customs", "r1", 3);
    assert_eq!(response.status, 503, "{response:?}");
    assert!(site.run_ids().is_empty());
}
