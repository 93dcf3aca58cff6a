//! Requests in progress at peers that accept no new connections for a while, as when their link is full.
#![allow(clippy::unwrap_used, reason = "as in test functions")]

mod mesh_support;

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mesh_support::Site;
use mesh_support::busy_peer;
use mesh_support::busy_peer_until;
use mesh_support::wait_until;
use rattanarch_adapter_standins::DESK;
use rattanarch_adapter_standins::FILES;
use serde_json::json;

/// Longer than two failed probes of a peer take.
const LONG_WORK: Duration = Duration::from_millis(1_600);

/// Response of a daemon whose upstream is overloaded.
const REFUSED: &str = "HTTP/1.1 503 Service Unavailable\r\nrattanarch-verdict: not-run\r\n\
                       rattanarch-reason: overloaded\r\ncontent-length: 0\r\n\r\n";

/// A download that an upstream still runs must not be given up when probes of its daemon fail, the only other instance
/// fails and the caller's daemon is asked to stop.
#[test]
fn stop_keeps_download() {
    let site = Site::start(1, 2);
    site.wait_members(FILES, 2);
    site.store.configure_timeout(6, "4s");
    site.upstreams[1].set_work(LONG_WORK * 3 / 2);
    site.upstreams[2].set_work(LONG_WORK / 2);
    site.upstreams[2].omit_stamps(1);
    let daemon = site.daemons[1].addresses.peers;
    site.set_peer_address(FILES, "files-0", busy_peer(Some(daemon)));
    let response = thread::scope(|scope| {
        let request = scope.spawn(|| site.get(0, "/maps/danube", "d1", 0));
        thread::sleep(LONG_WORK * 4 / 5);
        site.daemons[0].stop();
        request.join().unwrap()
    });
    assert_eq!((response.status, response.stamped), (200, true), "{response:?}");
    assert_eq!(site.upstreams[1].runs().len(), 1, "files-0 is tried first");
}

/// A request to a service without another instance waits for the response.
#[test]
fn only_instance_busy() {
    let site = Site::start(1, 1);
    site.wait_members(FILES, 1);
    site.upstreams[1].set_work(LONG_WORK);
    let daemon = site.daemons[1].addresses.peers;
    site.set_peer_address(FILES, "files-0", busy_peer(Some(daemon)));
    let response = site.get(0, "/files/customs", "f1", 0);
    assert_eq!((response.status, response.stamped), (200, true), "{response:?}");
    assert_eq!(site.upstreams[1].runs().len(), 1);
}

/// A request for a key waits for its owner's response.
#[test]
fn owner_busy() {
    let site = Site::start(2, 0);
    let key = site.upstreams[1].held()[0].0;
    site.upstreams[1].set_work(LONG_WORK);
    let daemon = site.daemons[1].addresses.peers;
    site.set_peer_address(DESK, "desk-1", busy_peer(Some(daemon)));
    let response = site.get(0, "/stock/crayfish", "s1", key);
    assert_eq!((response.status, response.stamped), (200, true), "{response:?}");
    assert_eq!(site.upstreams[1].runs().len(), 1);
}

/// A request for a key whose owner has been lost goes to the next owner.
#[test]
fn owner_lost() {
    let mut site = Site::start(3, 0);
    site.store.configure_timeout(6, "4s");
    let key = site.upstreams[1].held()[0].0;
    site.set_peer_address(DESK, "desk-1", busy_peer(None));
    site.daemons[1].kill();
    site.upstreams[1].stop();
    let response = site.get(0, "/stock/crayfish", "s2", key);
    assert_eq!((response.status, response.stamped), (200, true), "{response:?}");
}

/// A write waits for the response, even if a new record names another owner of its key meanwhile.
#[test]
fn write_owner_busy() {
    let site = Site::start(2, 0);
    let key = site.upstreams[1].held()[0].0;
    site.upstreams[1].set_work(LONG_WORK);
    let daemon = site.daemons[1].addresses.peers;
    site.set_peer_address(DESK, "desk-1", busy_peer(Some(daemon)));
    let response = thread::scope(|scope| {
        let request = scope.spawn(|| site.post(0, "/hold/crayfish", "h1", key, "12"));
        thread::sleep(LONG_WORK / 5);
        name_other_owner(&site);
        request.join().unwrap()
    });
    assert_eq!((response.status, response.stamped), (200, true), "{response:?}");
    assert_eq!(site.run_ids(), ["h1"]);
    let log = site.daemons[0].log();
    assert!(!log.contains("record malformed") && !log.contains("try 2"), "more than one attempt");
}

/// A request that has used up the attempts of its route waits for the pending attempt and is sent to no further
/// instance.
#[test]
fn last_attempt_busy() {
    let site = Site::start(1, 3);
    site.wait_members(FILES, 3);
    site.store.configure_timeout(6, "4s");
    site.upstreams[1].omit_stamps(1);
    for index in [2, 3] {
        site.upstreams[index].set_work(LONG_WORK);
        let daemon = site.daemons[index].addresses.peers;
        site.set_peer_address(FILES, &format!("files-{}", index - 1), busy_peer(Some(daemon)));
    }
    let response = site.get(0, "/files/customs", "f2", 0);
    assert_eq!((response.status, response.stamped), (200, true), "{response:?}");
    assert_eq!(site.upstreams[1].runs().len(), 1, "files-0 is tried first");
    assert_eq!(site.run_ids().len(), 2);
}

/// An instance with a pending attempt does not get the request again when the attempt at another instance is refused.
#[test]
fn pending_sent_once() {
    let site = Site::start(1, 2);
    site.wait_members(FILES, 2);
    site.store.configure_timeout(6, "4s");
    site.upstreams[2].set_work(LONG_WORK);
    let server = slow_server(LONG_WORK, REFUSED);
    site.set_peer_address(FILES, "files-0", busy_peer(Some(server)));
    let response = site.get(0, "/files/customs", "f3", 0);
    assert_eq!((response.status, response.stamped), (200, true), "{response:?}");
    assert!(site.upstreams[1].runs().is_empty(), "the first attempt is refused");
    assert_eq!(site.upstreams[2].runs().len(), 1);
}

/// If the owner of the key has been lost and the next owner fails the request, the caller gets that response at once.
#[test]
fn next_owner_fails() {
    let mut site = Site::start(3, 0);
    site.store.configure_timeout(6, "10s");
    let key = site.upstreams[1].held()[0].0;
    site.set_peer_address(DESK, "desk-1", busy_peer(None));
    site.daemons[1].kill();
    site.upstreams[1].stop();
    for index in [0, 2] {
        site.upstreams[index].fail(9);
    }
    let start = Instant::now();
    let response = site.get(0, "/stock/crayfish", "s3", key);
    assert_eq!((response.status, response.stamped), (500, true), "{response:?}");
    assert!(start.elapsed() < Duration::from_millis(3_500), "{:?}", start.elapsed());
}

/// If the owner of the key has been lost and the retry share is used up, the caller gets a failure as soon as a record
/// names another owner.
#[test]
fn share_used_up() {
    let site = Site::start(2, 0);
    let key = site.upstreams[1].held()[0].0;
    let own = site.upstreams[0].held()[0].0;
    // More than the retries that the daemon's share allows for these requests, with its slack.
    site.upstreams[0].omit_stamps(200);
    for index in 0..60 {
        site.get(0, "/stock/crayfish", &format!("u{index}"), own);
    }
    site.set_peer_address(DESK, "desk-1", busy_peer(None));
    let start = Instant::now();
    let response = thread::scope(|scope| {
        let request = scope.spawn(|| site.get(0, "/stock/crayfish", "s4", key));
        thread::sleep(LONG_WORK / 5);
        name_other_owner(&site);
        request.join().unwrap()
    });
    assert_eq!((response.status, response.body.as_str()), (502, "silent"), "{response:?}");
    assert!(start.elapsed() < LONG_WORK, "{:?}", start.elapsed());
}

/// Stores a newer record in which the instance `desk-0` owns every key.
fn name_other_owner(site: &Site) {
    let mut record = site.store.record(DESK).expect("the service has a record");
    let version = record["version"].as_u64().expect("version is a number") + 1;
    let members = record["members"].as_array().expect("members are an array");
    let index = members.iter().position(|member| member["instance"] == "desk-0");
    let owners = record["owners"].as_array().expect("owners are an array");
    let slices: u64 = owners.iter().map(|run| run[0].as_u64().expect("count is a number")).sum();
    record["owners"] = json!([[slices, index.expect("desk-0 is a member")]]);
    record["version"] = version.into();
    site.store.put_record(DESK, &record);
}

/// Starts a server that sends `response` to its first request after `work`. Returns its address.
fn slow_server(work: Duration, response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = [0; 4_096];
        assert!(stream.read(&mut head).unwrap() > 0, "connection closed before a request");
        thread::sleep(work);
        stream.write_all(response.as_bytes()).unwrap();
        thread::sleep(LONG_WORK);
    });
    address
}

/// A request that the next owner runs must not be given up when the connection to the lost owner ends.
#[test]
fn next_owner_runs() {
    let mut site = Site::start(3, 0);
    site.store.configure_timeout(6, "4s");
    let key = site.upstreams[1].held()[0].0;
    site.upstreams[0].set_work(Duration::from_millis(500));
    site.upstreams[2].set_work(Duration::from_millis(500));
    let (end, ended) = mpsc::channel();
    site.set_peer_address(DESK, "desk-1", busy_peer_until(ended));
    site.daemons[1].kill();
    site.upstreams[1].stop();
    let response = thread::scope(|scope| {
        let request = scope.spawn(|| site.get(0, "/stock/crayfish", "n1", key));
        wait_until("the next owner runs it", || site.run_ids().contains(&"n1".to_owned()));
        end.send(()).unwrap();
        request.join().unwrap()
    });
    assert_eq!((response.status, response.stamped), (200, true), "{response:?}");
}
