//! A crowd of clients that stop short of the ends of bodies and heads, and of clients whose requests have long ids.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use rattanarch_adapter_standins::Store;

use crate::FILES;
use crate::HOST;
use crate::Setting;
use crate::Verdict;
use crate::configure;
use crate::endpoint::Endpoint;
use crate::fleet::MEMORY_MB;
use crate::fleet::Site;
use crate::http;
use crate::http::Answer;
use crate::http::Request;
use crate::record::Recorder;

/// Clients whose requests have long ids, and the length of an id. The head stays below `max_header_bytes`, which is
/// 16,384.
const CLIENTS: usize = 40;
const ID: usize = 15_600;

/// How long such a client waits for its answer before it leaves.
const PATIENCE: Duration = Duration::from_millis(8);

/// Bodies that stop short of their end, and their lengths; `max_body_bytes` is 67,108,864.
const LARGE_BODIES: usize = 8;
const LARGE: usize = 16 << 20;
const SMALL_BODIES: usize = 280;
const SMALL: usize = 64 << 10;

/// Heads that stop half-way, and how long before the end of the crowd; a head has 3 s to arrive.
const HEADS: usize = 400;
const HEADS_BEFORE_END: Duration = Duration::from_secs(2);

/// How long the crowd stays once it is complete.
const STAY: Duration = Duration::from_secs(8);

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start();
    configure(&store);
    let site = Site::new(record, &setting.root, store.address);
    let machines = site.machines(FILES, &["hafenhalle"]);
    let _endpoints = Endpoint::beside(record, &machines);
    if !machines.iter().all(|machine| machine.await_ready(Duration::from_secs(20))) {
        return Verdict::Unfit("a daemon was not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(6));
    let machine = &machines[0];
    let ordinary = |id: &str| {
        let request = Request {
            method: "GET",
            path: format!("/book/{id}"),
            host: HOST.to_owned(),
            id: id.to_owned(),
            deadline_ms: 1_000,
            key: None,
            body: Vec::new(),
        };
        let (answer, _) = http::send(record, machine.callers, &request, Duration::from_secs(4));
        answer == Answer::Whole { status: 200, stamped: true }
    };
    if !ordinary("before") {
        return Verdict::Unfit("an ordinary request failed in calm".to_owned());
    }
    record.say(&format!("peak resident memory before: {} MiB", machine.peak_memory() >> 20));
    let sent = Arc::new(AtomicUsize::new(0));
    if setting.trouble {
        press(record, machine.callers, &sent);
    }
    let peak = machine.peak_memory();
    record.say(&format!(
        "requests with long ids: {}; peak resident memory: {} MiB, memory of the machine: {MEMORY_MB} MB",
        sent.load(Ordering::Relaxed),
        peak >> 20
    ));
    thread::sleep(Duration::from_secs(2));
    record.say(&format!("an ordinary request afterwards is served: {}", ordinary("after")));
    // The larger reading of a megabyte.
    if peak > MEMORY_MB << 20 { Verdict::Broken } else { Verdict::Held }
}

/// Opens the crowd, holds it for [`STAY`] and ends it.
fn press(record: &Recorder, to: SocketAddr, sent: &Arc<AtomicUsize>) {
    let large = (0..LARGE_BODIES).map(|number| (format!("large-{number}"), LARGE));
    let small = (0..SMALL_BODIES).map(|number| (format!("small-{number}"), SMALL));
    let open: Vec<_> = large
        .chain(small)
        .filter_map(|(id, length)| stop_short(record, to, &id, length).ok())
        .collect();
    record.say(&format!("bodies that stop short of their end: {}", open.len()));
    let end = record.now() + STAY;
    // Without these clients, the same crowd stays within the memory of the machine.
    let count = if std::env::var("IDS").is_ok_and(|value| value == "0") { 0 } else { CLIENTS };
    let clients: Vec<_> = (0..count)
        .map(|client| {
            let (record, sent) = (record.clone(), Arc::clone(sent));
            thread::spawn(move || {
                for number in 0.. {
                    if record.now() > end {
                        break;
                    }
                    let name = format!("long-{client}-{number}-");
                    if send_long_id(to, &name).is_ok() {
                        record.line(&format!("client sends {name}... and leaves"));
                        sent.fetch_add(1, Ordering::Relaxed);
                    }
                }
            })
        })
        .collect();
    thread::sleep(end.saturating_sub(record.now() + HEADS_BEFORE_END));
    let heads: Vec<_> = (0..HEADS).filter_map(|_| stop_in_head(to).ok()).collect();
    record.say(&format!("heads that stop half-way: {}", heads.len()));
    for client in clients {
        client.join().expect("client ends");
    }
}

/// Sends most of a head, and leaves the connection open.
fn stop_in_head(to: SocketAddr) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(to)?;
    let field = "x".repeat(ID);
    stream
        .write_all(format!("GET /book/1 HTTP/1.1\r\nhost: {HOST}\r\nx-note: {field}").as_bytes())?;
    Ok(stream)
}

/// Sends a body of `length` bytes but for the last twentieth, and leaves the connection open.
fn stop_short(record: &Recorder, to: SocketAddr, id: &str, length: usize) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(to)?;
    stream.set_write_timeout(Some(Duration::from_secs(2)))?;
    let head = format!(
        "POST /file/{id} HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {id}\r\nx-deadline-ms: 1500\r\n\
         content-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(&vec![b'x'; length / 20 * 19])?;
    record.line(&format!("client sends {id}: {} of {length} bytes", length / 20 * 19));
    Ok(stream)
}

/// Sends a request whose id begins with `name`, and leaves.
fn send_long_id(to: SocketAddr, name: &str) -> io::Result<()> {
    let mut stream = TcpStream::connect(to)?;
    let id = format!("{name:x<ID$}");
    let head = format!(
        "GET /book/1 HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {id}\r\nx-deadline-ms: 1000\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    thread::sleep(PATIENCE);
    Ok(())
}
