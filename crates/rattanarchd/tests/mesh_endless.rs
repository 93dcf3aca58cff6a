//! Upstreams whose responses never end.
#![allow(clippy::unwrap_used, reason = "as in test functions")]

mod mesh_support;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mesh_support::Site;
use mesh_support::wait_until;
use rattanarch_adapter_standins::FILES;
use rattanarch_adapter_standins::send_raw_heartbeat;
use serde_json::json;

/// Largest number of bytes that a daemon may read of one response: the 8 MiB of the largest response that it buffers,
/// and what fits into the sockets' buffers.
const MAX_BYTES: usize = 24 << 20;

/// Largest resident memory of a daemon in bytes: half of the memory of the smallest known machines.
const MAX_RESIDENT_BYTES: usize = 80 << 20;

/// Requests that the upstream runs at once.
const SLOTS: usize = 18;

/// An upstream that responds to each request with a head and then with endless copies of a text.
struct EndlessUpstream {
    sent: Arc<AtomicUsize>,
    ended: Arc<AtomicBool>,
}

impl EndlessUpstream {
    /// Starts it at `address`; `{id}` in `head` stands for the attempt id.
    fn start(address: SocketAddr, control: SocketAddr, head: &str, piece: &str) -> Self {
        let mut listener = None;
        wait_until("the port is free", || {
            listener = TcpListener::bind(address).ok();
            listener.is_some()
        });
        let listener = listener.unwrap();
        let (sent, ended) = (Arc::<AtomicUsize>::default(), Arc::<AtomicBool>::default());
        let (head, piece) = (head.to_owned(), piece.repeat(4_096 / piece.len() + 1));
        let counted = Arc::clone(&sent);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (head, piece, counted) = (head.clone(), piece.clone(), Arc::clone(&counted));
                thread::spawn(move || respond(stream.unwrap(), &head, &piece, &counted));
            }
        });
        let heartbeats_ended = Arc::clone(&ended);
        let born = std::time::UNIX_EPOCH.elapsed().unwrap().as_millis() as u64;
        thread::spawn(move || {
            for sequence in 1.. {
                if heartbeats_ended.load(Ordering::Relaxed) {
                    break;
                }
                send_heartbeat(control, address, (born, sequence));
                thread::sleep(Duration::from_millis(200));
            }
        });
        Self { sent, ended }
    }
}

impl Drop for EndlessUpstream {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

/// Sends a heartbeat of the life that started at `born`.
fn send_heartbeat(control: SocketAddr, address: SocketAddr, (born, sequence): (u64, u64)) {
    let body = json!({
        "address": address, "born": born,
        "info": { "service": FILES, "version": "v1", "zone": "a", "slots": SLOTS },
        "status": { "state": "ready", "sequence": sequence, "cold_left": "0ms" },
    });
    send_raw_heartbeat(control, "i-endless", &body.to_string());
}

/// Sends the response to one request until the daemon closes the connection.
fn respond(mut stream: TcpStream, head: &str, piece: &str, sent: &AtomicUsize) {
    let mut request = [0; 4_096];
    let Ok(length) = stream.read(&mut request) else { return };
    let text = String::from_utf8_lossy(&request[..length]).into_owned();
    let id = text.lines().find_map(|line| line.strip_prefix("x-attempt-id: ")).unwrap_or_default();
    let head = head.replace("{id}", id);
    let mut part = head.as_bytes();
    while stream.write_all(part).is_ok() {
        sent.fetch_add(part.len(), Ordering::Relaxed);
        part = piece.as_bytes();
    }
}

/// Sends a request to a daemon whose upstream sends `head` and then endless copies of `piece`. The request must fail
/// in time, other requests are served meanwhile, and the daemon reads and buffers a bounded number of bytes.
fn assert_bounded(head: &str, piece: &str) {
    let mut site = Site::start(1, 1);
    site.wait_members(FILES, 1);
    site.upstreams[1].stop();
    let addresses = site.daemons[1].addresses;
    let endless = EndlessUpstream::start(addresses.upstream, addresses.control, head, piece);
    wait_until("the daemon accepts its heartbeats", || site.daemons[1].log().contains("i-endless"));
    let began = Instant::now();
    let response = thread::scope(|scope| {
        let request = scope.spawn(|| site.get(1, "/files/customs", "e1", 0));
        for number in 0.. {
            if request.is_finished() {
                break;
            }
            let start = Instant::now();
            let other = site.get(1, "/stock/crayfish", &format!("o{number}"), 9);
            assert_eq!(other.status, 200, "{other:?}");
            assert!(start.elapsed() < Duration::from_millis(500), "{:?}", start.elapsed());
            thread::sleep(Duration::from_millis(50));
        }
        request.join().unwrap()
    });
    assert!(matches!(response.status, 502 | 504), "{response:?}");
    assert!(!response.stamped);
    // The route's timeout, and time for the response to the caller.
    assert!(began.elapsed() < Duration::from_millis(2_500), "{:?}", began.elapsed());
    let sent = || endless.sent.load(Ordering::Relaxed);
    let memory = site.daemons[1].resident_bytes();
    assert!(memory < MAX_RESIDENT_BYTES, "{memory} bytes resident");
    let after = sent();
    thread::sleep(Duration::from_millis(300));
    assert_eq!(sent(), after, "the daemon still reads the connection");
    assert!(after < MAX_BYTES, "{after} bytes read");
}

/// Guards against a process that runs out of memory: endless responses to as many requests as the upstream has slots,
/// each of which is within the limit of one response, add up. Small responses of the same kind of service go on.
#[test]
fn endless_in_all_slots() {
    let mut site = Site::start(1, 1);
    site.wait_members(FILES, 1);
    site.upstreams[1].stop();
    let addresses = site.daemons[1].addresses;
    let head = "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-stamp: s\r\n\r\n";
    let _endless = EndlessUpstream::start(addresses.upstream, addresses.control, head, "endless ");
    wait_until("the daemon accepts its heartbeats", || site.daemons[1].log().contains("i-endless"));
    let largest = thread::scope(|scope| {
        let site = &site;
        let get = |number| move || site.get(1, "/files/customs", &format!("e{number}"), 0);
        let requests: Vec<_> = (0..SLOTS).map(|number| scope.spawn(get(number))).collect();
        let mut largest = 0;
        while requests.iter().any(|request| !request.is_finished()) {
            largest = largest.max(site.daemons[1].resident_bytes());
            let other = site.get(1, "/stock/crayfish", "other", 9);
            assert_eq!(other.status, 200, "{other:?}");
        }
        for request in requests {
            let response = request.join().unwrap();
            assert!(response.status >= 500 && !response.stamped, "{response:?}");
        }
        largest
    });
    assert!(largest < MAX_RESIDENT_BYTES, "{largest} bytes resident");
}

/// A header field that never ends.
#[test]
fn endless_field() {
    assert_bounded("HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-stamp: s\r\nx-long: ", "a");
}

/// A head with endless fields.
#[test]
fn endless_fields() {
    assert_bounded("HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\n", "x-more: again\r\n");
}

/// Bytes that are no HTTP head.
#[test]
fn endless_noise() {
    assert_bounded("", "\u{1}noise");
}

/// Blank lines before a head.
#[test]
fn endless_blanks() {
    assert_bounded("", "\r\n");
}

/// Interim responses without a final one.
#[test]
fn endless_interim() {
    assert_bounded("", "HTTP/1.1 103 Early Hints\r\n\r\n");
}

/// An endless body without a length.
#[test]
fn endless_body() {
    assert_bounded("HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-stamp: s\r\n\r\n", "body");
}

/// A chunked body without a last chunk.
#[test]
fn endless_chunks() {
    let head = "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-stamp: s\r\ntransfer-encoding: chunked\r\n\r\n";
    assert_bounded(head, "4\r\nbody\r\n");
}

/// A chunk extension that never ends.
#[test]
fn endless_extension() {
    let head = "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-stamp: s\r\ntransfer-encoding: chunked\r\n\r\n4;x=";
    assert_bounded(head, "y");
}
