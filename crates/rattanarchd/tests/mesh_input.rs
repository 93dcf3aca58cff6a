//! Bad input from the platform's side.

mod mesh_support;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use mesh_support::Site;
use mesh_support::wait_until;
use serde_json::json;

fn post(address: std::net::SocketAddr, path: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("the daemon listens");
    stream.set_read_timeout(Some(Duration::from_secs(2))).expect("a valid time");
    write!(
        stream,
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .expect("the daemon reads");
    let mut answer = String::new();
    // A connection that ends early leaves what has come.
    let _ = stream.read_to_string(&mut answer);
    answer.lines().next().unwrap_or_default().to_owned()
}

/// Heartbeats of other writers are rejected, and the upstream's own go on counting.
#[test]
fn foreign_heartbeats() {
    let site = Site::start(1, 0);
    let control = site.daemons[0].addresses.control;
    let path = "/Instances.Heartbeat/i-other";
    for body in ["", "{", "[]", "{\"address\":5}", "{\"address\":\"10.0.0.1:5\",\"info\":{}}"] {
        assert!(post(control, path, body).contains(" 400 "), "{body:?}");
    }
    let other = json!({
        "address": "10.0.0.1:5", "info": { "service": "trade-desk", "slots": 4 },
        "status": { "state": "ready", "sequence": 1 }, "born": u64::MAX,
    });
    assert!(post(control, path, &other.to_string()).contains(" 400 "));
    assert!(post(control, "/elsewhere", "").contains(" 404 "));
    thread::sleep(Duration::from_millis(600));
    assert_eq!(site.held_keys(), 65_536);
}

/// A heartbeat of an ended life, delivered late, changes nothing.
#[test]
fn late_heartbeat() {
    let site = Site::start(1, 0);
    let addresses = site.daemons[0].addresses;
    let old = json!({
        "address": addresses.upstream, "info": { "service": "trade-desk", "slots": 4 },
        "status": { "state": "draining", "sequence": 90 }, "born": 1000,
    });
    let answer = post(addresses.control, "/Instances.Heartbeat/i-desk-0-0", &old.to_string());
    assert!(answer.contains(" 409 "), "{answer}");
    thread::sleep(Duration::from_millis(600));
    assert_eq!(site.held_keys(), 65_536);
    assert_eq!(site.ask(0, "/stock/crayfish", "h1", 3).status, 200);
}

/// A configuration that makes no sense, and objects of other writers, leave the last good ones in force.
#[test]
fn senseless_objects() {
    let site = Site::start(2, 0);
    site.store.put("config", "main", &json!({ "version": 99, "listeners": "none" }));
    site.store.put("config", "other", &json!({ "version": 100 }));
    site.store.put("rattanarch-records", "elsewhere", &json!({ "service": 5 }));
    site.store.put("rattanarch-records", "nothing", &json!(null));
    wait_until("the daemon has said so", || {
        site.daemons.iter().all(|daemon| daemon.log().contains("configuration not understood"))
    });
    assert_eq!(site.ask(0, "/stock/crayfish", "o1", 3).status, 200);
    assert_eq!(site.held_keys(), 65_536);
}

/// A request for another service that finds this daemon's address in that one's record is refused, not
/// run: addresses are used again, and records of services whose members are all lost stay.
#[test]
fn reused_address() {
    let site = Site::start(1, 0);
    let mut record = site.store.get("rattanarch-records", "trade-desk").unwrap();
    record["service"] = "pound-files".into();
    record["owners"] = json!([]);
    site.store.put("rattanarch-records", "pound-files", &record);
    thread::sleep(Duration::from_millis(500));
    let answer = site.ask(0, "/files/customs", "r1", 3);
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(site.run_ids().is_empty());
}
