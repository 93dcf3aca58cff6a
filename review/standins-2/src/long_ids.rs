//! Crowds of clients that stop short of the ends of bodies and heads, and of clients whose requests have long ids.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
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
use crate::fleet::Machine;
use crate::fleet::Site;
use crate::http;
use crate::http::Answer;
use crate::http::Request;
use crate::record::Recorder;

/// Clients on each machine whose requests have long ids, and the length of an id. The head stays below `max_header_bytes`, which is
/// 16,384.
const CLIENTS: usize = 24;
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

/// How often a process has to end, and on how many machines, by the rule.
const ENDS: usize = 3;
const ZONES: [&str; 2] = ["hafenhalle", "nordkuehl"];

/// Times that the crowd comes at most.
const CROWDS: usize = 5;

/// After which the platform starts a process again that it has killed.
const RESTART_DELAY: Duration = Duration::from_millis(500);

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start();
    configure(&store);
    let site = Site::new(record, &setting.root, store.address);
    let mut machines = site.machines(FILES, &ZONES);
    let _endpoints = Endpoint::beside(record, &machines);
    if !machines.iter().all(|machine| machine.await_ready(Duration::from_secs(20))) {
        return Verdict::Unfit("a daemon was not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(6));
    if !machines.iter().all(|machine| is_served(record, machine.callers, "before")) {
        return Verdict::Unfit("an ordinary request failed in calm".to_owned());
    }
    for machine in &machines {
        let peak = machine.peak_memory() >> 20;
        record.say(&format!("{}: peak resident memory before: {peak} MiB", machine.name));
    }
    let mut ends = [0; ZONES.len()];
    for crowd in 1..=CROWDS {
        if !setting.trouble || ends.iter().all(|ends| *ends >= ENDS) {
            break;
        }
        record.say(&format!("crowd {crowd} comes"));
        let ended = press_all(record, &setting.root, &mut machines);
        for (ends, ended) in ends.iter_mut().zip(ended) {
            *ends += usize::from(ended);
        }
        if !machines.iter().all(|machine| machine.await_ready(Duration::from_secs(10))) {
            record.say("a daemon was not ready within 10 s of the crowd");
        }
        thread::sleep(Duration::from_secs(4));
    }
    for (machine, ends) in machines.iter().zip(ends) {
        let served = is_served(record, machine.callers, "after");
        record.say(&format!(
            "{}: processes killed over {MEMORY_MB} MB of memory: {ends}, peak of the last: {} MiB, an ordinary request \
             afterwards is served: {served}",
            machine.name,
            machine.peak_memory() >> 20
        ));
    }
    if ends.iter().all(|ends| *ends >= ENDS) { Verdict::Broken } else { Verdict::Held }
}

/// Sends an ordinary request and returns whether it is served.
fn is_served(record: &Recorder, to: SocketAddr, id: &str) -> bool {
    let request = Request {
        method: "GET",
        path: format!("/book/{id}"),
        host: HOST.to_owned(),
        id: id.to_owned(),
        deadline_ms: 1_000,
        key: None,
        body: Vec::new(),
    };
    let (answer, _) = http::send(record, to, &request, Duration::from_secs(4));
    answer == Answer::Whole { status: 200, stamped: true }
}

/// Lets a crowd come to each machine and plays the platform meanwhile: a process that exceeds the memory of its machine is
/// killed and started again. Returns which processes were.
fn press_all(record: &Recorder, root: &Path, machines: &mut [Machine]) -> Vec<bool> {
    let crowds: Vec<_> = machines
        .iter()
        .map(|machine| {
            let leave = Arc::new(AtomicBool::new(false));
            let (record, to, leaves) = (record.clone(), machine.callers, Arc::clone(&leave));
            (leave, thread::spawn(move || press(&record, to, &leaves)))
        })
        .collect();
    let mut ended = vec![false; machines.len()];
    while !crowds.iter().all(|(_, crowd)| crowd.is_finished()) {
        for ((machine, (leave, _)), ended) in machines.iter_mut().zip(&crowds).zip(&mut ended) {
            let peak = machine.peak_memory();
            // The larger reading of a megabyte.
            if *ended || peak <= MEMORY_MB << 20 {
                continue;
            }
            record.say(&format!("{}: peak resident memory: {} MiB", machine.name, peak >> 20));
            machine.signal("KILL");
            machine.wait();
            leave.store(true, Ordering::Relaxed);
            thread::sleep(RESTART_DELAY);
            machine.restart(root);
            *ended = true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    for (_, crowd) in crowds {
        crowd.join().expect("crowd ends");
    }
    ended
}

/// Opens the crowd, holds it for [`STAY`] or until `leave`, and ends it.
fn press(record: &Recorder, to: SocketAddr, leave: &Arc<AtomicBool>) {
    let large = (0..LARGE_BODIES).map(|number| (format!("large-{number}"), LARGE));
    let small = (0..SMALL_BODIES).map(|number| (format!("small-{number}"), SMALL));
    let open: Vec<_> = large
        .chain(small)
        .filter_map(|(id, length)| stop_short(record, to, &id, length).ok())
        .collect();
    record.say(&format!("bodies that stop short of their end: {}", open.len()));
    let sent = Arc::new(AtomicUsize::new(0));
    let end = record.now() + STAY;
    // Without these clients, the same crowd stays within the memory of the machine.
    let count = if std::env::var("IDS").is_ok_and(|value| value == "0") { 0 } else { CLIENTS };
    let clients: Vec<_> = (0..count)
        .map(|client| {
            let (record, sent, leave) = (record.clone(), Arc::clone(&sent), Arc::clone(leave));
            thread::spawn(move || {
                for number in 0.. {
                    if record.now() > end || leave.load(Ordering::Relaxed) {
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
    while record.now() + HEADS_BEFORE_END < end && !leave.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(20));
    }
    if !leave.load(Ordering::Relaxed) {
        let heads: Vec<_> = (0..HEADS).filter_map(|_| stop_in_head(to).ok()).collect();
        record.say(&format!("heads that stop half-way: {}", heads.len()));
        while record.now() < end && !leave.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(20));
        }
    }
    for client in clients {
        client.join().expect("client ends");
    }
    record.say(&format!("requests with long ids: {}", sent.load(Ordering::Relaxed)));
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
