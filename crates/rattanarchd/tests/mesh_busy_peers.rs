//! Requests at upstreams whose machines take no further connection for a while.
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
use mesh_support::busy_machine;
use mesh_support::busy_until;
use mesh_support::wait_until;
use rattanarch_adapter_standins::DESK;
use rattanarch_adapter_standins::FILES;
use serde_json::json;

/// Longer than it takes until two looks at a peer have failed.
const LONG_WORK: Duration = Duration::from_millis(1_600);

/// A daemon's answer to a request that its upstream has no room for.
const REFUSED: &str = "HTTP/1.1 503 Service Unavailable\r\nrattanarch-verdict: not-run\r\n\
                       rattanarch-reason: overloaded\r\ncontent-length: 0\r\n\r\n";

/// A download at which an upstream works is not given up when its machine's link is full, the only other
/// instance fails and the caller's daemon is asked to stop.
#[test]
fn stop_keeps_download() {
    let site = Site::start(1, 2);
    site.wait_members(FILES, 2);
    site.store.configure_timeout(6, "4s");
    site.upstreams[1].set_work(LONG_WORK * 3 / 2);
    site.upstreams[2].set_work(LONG_WORK / 2);
    site.upstreams[2].omit_stamps(1);
    let daemon = site.daemons[1].addresses.peers;
    site.reach_at(FILES, "files-0", busy_machine(Some(daemon)));
    let answer = thread::scope(|scope| {
        let asked = scope.spawn(|| site.ask(0, "/maps/danube", "d1", 0));
        thread::sleep(LONG_WORK * 4 / 5);
        site.daemons[0].stop();
        asked.join().unwrap()
    });
    assert_eq!((answer.status, answer.stamped), (200, true), "{answer:?}");
    assert_eq!(site.upstreams[1].runs().len(), 1, "tried first");
}

/// A request of a service without another instance waits for the answer.
#[test]
fn only_instance_busy() {
    let site = Site::start(1, 1);
    site.wait_members(FILES, 1);
    site.upstreams[1].set_work(LONG_WORK);
    let daemon = site.daemons[1].addresses.peers;
    site.reach_at(FILES, "files-0", busy_machine(Some(daemon)));
    let answer = site.ask(0, "/files/customs", "f1", 0);
    assert_eq!((answer.status, answer.stamped), (200, true), "{answer:?}");
    assert_eq!(site.upstreams[1].runs().len(), 1);
}

/// A request for a key waits for its owner's answer.
#[test]
fn owner_busy() {
    let site = Site::start(2, 0);
    let key = site.upstreams[1].held()[0].0;
    site.upstreams[1].set_work(LONG_WORK);
    let daemon = site.daemons[1].addresses.peers;
    site.reach_at(DESK, "desk-1", busy_machine(Some(daemon)));
    let answer = site.ask(0, "/stock/crayfish", "s1", key);
    assert_eq!((answer.status, answer.stamped), (200, true), "{answer:?}");
    assert_eq!(site.upstreams[1].runs().len(), 1);
}

/// A request for a key whose owner is lost while it runs goes to the next owner.
#[test]
fn owner_lost() {
    let mut site = Site::start(3, 0);
    site.store.configure_timeout(6, "4s");
    let key = site.upstreams[1].held()[0].0;
    site.reach_at(DESK, "desk-1", busy_machine(None));
    site.daemons[1].kill();
    site.upstreams[1].stop();
    let answer = site.ask(0, "/stock/crayfish", "s2", key);
    assert_eq!((answer.status, answer.stamped), (200, true), "{answer:?}");
}

/// A request that must not run twice waits for the answer, though a record names another owner of its key meanwhile.
#[test]
fn once_owner_busy() {
    let site = Site::start(2, 0);
    let key = site.upstreams[1].held()[0].0;
    site.upstreams[1].set_work(LONG_WORK);
    let daemon = site.daemons[1].addresses.peers;
    site.reach_at(DESK, "desk-1", busy_machine(Some(daemon)));
    let answer = thread::scope(|scope| {
        let asked = scope.spawn(|| site.send(0, "/hold/crayfish", "h1", key, "12"));
        thread::sleep(LONG_WORK / 5);
        name_other_owner(&site);
        asked.join().unwrap()
    });
    assert_eq!((answer.status, answer.stamped), (200, true), "{answer:?}");
    assert_eq!(site.run_ids(), ["h1"]);
    let log = site.daemons[0].log();
    assert!(!log.contains("record malformed") && !log.contains("try 2"), "one try alone");
}

/// A request whose route's attempts are used up waits for the one that is under way, and goes to no further instance.
#[test]
fn last_attempt_busy() {
    let site = Site::start(1, 3);
    site.wait_members(FILES, 3);
    site.store.configure_timeout(6, "4s");
    site.upstreams[1].omit_stamps(1);
    for index in [2, 3] {
        site.upstreams[index].set_work(LONG_WORK);
        let daemon = site.daemons[index].addresses.peers;
        site.reach_at(FILES, &format!("files-{}", index - 1), busy_machine(Some(daemon)));
    }
    let answer = site.ask(0, "/files/customs", "f2", 0);
    assert_eq!((answer.status, answer.stamped), (200, true), "{answer:?}");
    assert_eq!(site.upstreams[1].runs().len(), 1, "tried first");
    assert_eq!(site.run_ids().len(), 2);
}

/// An instance at which a request is under way does not get it a second time when the try beside it is refused.
#[test]
fn beside_sent_once() {
    let site = Site::start(1, 2);
    site.wait_members(FILES, 2);
    site.store.configure_timeout(6, "4s");
    site.upstreams[2].set_work(LONG_WORK);
    let server = late_server(LONG_WORK, REFUSED);
    site.reach_at(FILES, "files-0", busy_machine(Some(server)));
    let answer = site.ask(0, "/files/customs", "f3", 0);
    assert_eq!((answer.status, answer.stamped), (200, true), "{answer:?}");
    assert!(site.upstreams[1].runs().is_empty(), "the first try is refused");
    assert_eq!(site.upstreams[2].runs().len(), 1);
}

/// A caller whose key's owner was lost, and whose request the next owner fails, is told so at once.
#[test]
fn next_owner_fails() {
    let mut site = Site::start(3, 0);
    site.store.configure_timeout(6, "10s");
    let key = site.upstreams[1].held()[0].0;
    site.reach_at(DESK, "desk-1", busy_machine(None));
    site.daemons[1].kill();
    site.upstreams[1].stop();
    for index in [0, 2] {
        site.upstreams[index].fail(9);
    }
    let start = Instant::now();
    let answer = site.ask(0, "/stock/crayfish", "s3", key);
    assert_eq!((answer.status, answer.stamped), (500, true), "{answer:?}");
    assert!(start.elapsed() < Duration::from_millis(3_500), "{:?}", start.elapsed());
}

/// A caller whose key's owner was lost is told so as soon as there is another one, if its request can't be repeated.
#[test]
fn replaced_share_used() {
    let site = Site::start(2, 0);
    let key = site.upstreams[1].held()[0].0;
    let own = site.upstreams[0].held()[0].0;
    // More than the share of repeats that a daemon has of these requests and the slack.
    site.upstreams[0].omit_stamps(200);
    for index in 0..60 {
        site.ask(0, "/stock/crayfish", &format!("u{index}"), own);
    }
    site.reach_at(DESK, "desk-1", busy_machine(None));
    let start = Instant::now();
    let answer = thread::scope(|scope| {
        let asked = scope.spawn(|| site.ask(0, "/stock/crayfish", "s4", key));
        thread::sleep(LONG_WORK / 5);
        name_other_owner(&site);
        asked.join().unwrap()
    });
    assert_eq!((answer.status, answer.body.as_str()), (502, "silent"), "{answer:?}");
    assert!(start.elapsed() < LONG_WORK, "{:?}", start.elapsed());
}

/// Gives every key to the upstream desk-0, under a newer record.
fn name_other_owner(site: &Site) {
    let mut record = site.store.record(DESK).expect("a record");
    let version = record["version"].as_u64().expect("a version") + 1;
    let members = record["members"].as_array().expect("members");
    let place = members.iter().position(|member| member["instance"] == "desk-0");
    let owners = record["owners"].as_array().expect("owners");
    let slices: u64 = owners.iter().map(|run| run[0].as_u64().expect("a count")).sum();
    record["owners"] = json!([[slices, place.expect("the member")]]);
    record["version"] = version.into();
    site.store.put_record(DESK, &record);
}

/// A server that gives its first request `answer` after `work`.
fn late_server(work: Duration, answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = [0; 4_096];
        assert!(stream.read(&mut head).unwrap() > 0, "a request");
        thread::sleep(work);
        stream.write_all(answer.as_bytes()).unwrap();
        thread::sleep(LONG_WORK);
    });
    address
}

/// What the next owner runs is not given up when the connection to the lost one ends.
#[test]
fn next_owner_runs() {
    let mut site = Site::start(3, 0);
    site.store.configure_timeout(6, "4s");
    let key = site.upstreams[1].held()[0].0;
    site.upstreams[0].set_work(Duration::from_millis(500));
    site.upstreams[2].set_work(Duration::from_millis(500));
    let (end, ended) = mpsc::channel();
    site.reach_at(DESK, "desk-1", busy_until(ended));
    site.daemons[1].kill();
    site.upstreams[1].stop();
    let answer = thread::scope(|scope| {
        let asked = scope.spawn(|| site.ask(0, "/stock/crayfish", "n1", key));
        wait_until("the next owner runs it", || site.run_ids().contains(&"n1".to_owned()));
        end.send(()).unwrap();
        asked.join().unwrap()
    });
    assert_eq!((answer.status, answer.stamped), (200, true), "{answer:?}");
}
