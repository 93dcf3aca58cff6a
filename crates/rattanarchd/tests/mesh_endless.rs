//! Upstreams that send bytes without end.
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

/// Bytes that a daemon may take of one answer: the 8 MiB of the largest that it holds, and what fits into the sockets'
/// buffers.
const MOST_BYTES: usize = 24 << 20;

/// Memory that a daemon may have in use, in bytes: half of what the smallest known machines have.
const MOST_MEMORY: usize = 80 << 20;

/// An upstream that answers each request with `head` and then with `piece` again and again.
struct Endless {
    sent: Arc<AtomicUsize>,
    ended: Arc<AtomicBool>,
}

impl Endless {
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
                thread::spawn(move || flood(stream.unwrap(), &head, &piece, &counted));
            }
        });
        let until = Arc::clone(&ended);
        thread::spawn(move || {
            for sequence in 1.. {
                if until.load(Ordering::Relaxed) {
                    break;
                }
                beat(control, address, sequence);
                thread::sleep(Duration::from_millis(200));
            }
        });
        Self { sent, ended }
    }
}

impl Drop for Endless {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

fn beat(control: SocketAddr, address: SocketAddr, sequence: u64) {
    let born = std::time::UNIX_EPOCH.elapsed().unwrap().as_millis() as u64;
    let body = json!({
        "address": address, "born": born,
        "info": { "service": FILES, "version": "v1", "zone": "a", "slots": 4 },
        "status": { "state": "ready", "sequence": sequence, "cold_left": "0ms" },
    });
    send_raw_heartbeat(control, "i-endless", &body.to_string());
}

/// Answers one request until the daemon closes the connection.
fn flood(mut stream: TcpStream, head: &str, piece: &str, sent: &AtomicUsize) {
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

/// Asks a daemon whose upstream sends `head` and then `piece` without end. The caller is told in time that it
/// failed, others are served meanwhile, and the daemon takes a bounded part.
fn assert_bounded(head: &str, piece: &str) {
    let mut site = Site::start(1, 1);
    site.wait_members(FILES, 1);
    site.upstreams[1].stop();
    let addresses = site.daemons[1].addresses;
    let endless = Endless::start(addresses.upstream, addresses.control, head, piece);
    wait_until("its heartbeats are taken", || site.daemons[1].log().contains("i-endless"));
    let begin = Instant::now();
    let answer = thread::scope(|scope| {
        let asked = scope.spawn(|| site.ask(1, "/files/customs", "e1", 0));
        for number in 0.. {
            if asked.is_finished() {
                break;
            }
            let start = Instant::now();
            let other = site.ask(1, "/stock/crayfish", &format!("o{number}"), 9);
            assert_eq!(other.status, 200, "{other:?}");
            assert!(start.elapsed() < Duration::from_millis(500), "{:?}", start.elapsed());
            thread::sleep(Duration::from_millis(50));
        }
        asked.join().unwrap()
    });
    assert!(matches!(answer.status, 502 | 504), "{answer:?}");
    assert!(!answer.stamped);
    // The route's timeout, and the time that the answer needs.
    assert!(begin.elapsed() < Duration::from_millis(2_500), "{:?}", begin.elapsed());
    let sent = || endless.sent.load(Ordering::Relaxed);
    let memory = site.daemons[1].memory();
    assert!(memory < MOST_MEMORY, "{memory} bytes in use");
    let after = sent();
    thread::sleep(Duration::from_millis(300));
    assert_eq!(sent(), after, "the connection is still read");
    assert!(after < MOST_BYTES, "{after} bytes taken");
}

/// A field of a head that does not end.
#[test]
fn endless_field() {
    assert_bounded("HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-stamp: s\r\nx-long: ", "a");
}

/// A head whose fields do not end.
#[test]
fn endless_fields() {
    assert_bounded("HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\n", "x-more: again\r\n");
}

/// Bytes that are no head at all.
#[test]
fn endless_noise() {
    assert_bounded("", "\u{1}noise");
}

/// Blank lines before a head.
#[test]
fn endless_blanks() {
    assert_bounded("", "\r\n");
}

/// Interim answers, none of which is the last.
#[test]
fn endless_interim() {
    assert_bounded("", "HTTP/1.1 103 Early Hints\r\n\r\n");
}

/// A body without a length.
#[test]
fn endless_body() {
    assert_bounded("HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-stamp: s\r\n\r\n", "body");
}

/// A body in chunks, the last of which does not come.
#[test]
fn endless_chunks() {
    let head = "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-stamp: s\r\ntransfer-encoding: chunked\r\n\r\n";
    assert_bounded(head, "4\r\nbody\r\n");
}

/// An extension of a chunk that does not end.
#[test]
fn endless_extension() {
    let head = "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-stamp: s\r\ntransfer-encoding: chunked\r\n\r\n4;x=";
    assert_bounded(head, "y");
}
