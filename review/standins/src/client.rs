//! Clients on the machines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Random;
use crate::http;
use crate::record::Record;

pub const HOST: &str = "pound.example";

/// One request of a client and its answer.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub machine: String,
    pub is_unsafe: bool,
    pub key: u16,
    pub at: Instant,
    /// Status of the answer; 0 if there is none.
    pub status: u16,
    pub after: Duration,
}

#[derive(Clone)]
pub struct Clients {
    pub sent: Arc<Mutex<Vec<Sent>>>,
    ended: Arc<AtomicBool>,
    record: Record,
}

impl Clients {
    pub fn new(record: &Record) -> Self {
        Self { sent: Arc::default(), ended: Arc::default(), record: record.clone() }
    }

    /// Starts a client on the machine `name`, which sends a request to `outbound` every `pause`: safe ones for three in
    /// four, and unsafe ones. Keys are drawn by `draw`.
    pub fn start(
        &self,
        name: &str,
        outbound: SocketAddr,
        pause: Duration,
        mut draw: impl FnMut(&mut Random) -> u16 + Send + 'static,
    ) {
        let clients = self.clone();
        let name = name.to_owned();
        let seed = name.bytes().fold(std::process::id().into(), |sum: u64, byte| sum * 31 + u64::from(byte));
        thread::spawn(move || {
            let mut random = Random::new(seed);
            while !clients.ended.load(Ordering::SeqCst) {
                let (id, key) = (format!("{:016x}", random.draw()), draw(&mut random));
                let is_unsafe = random.draw() % 4 == 0;
                let (clients, name) = (clients.clone(), name.clone());
                thread::spawn(move || clients.send(&name, outbound, &id, key, is_unsafe));
                thread::sleep(pause);
            }
        });
    }

    /// Sends one request and waits for its answer.
    pub fn send(&self, name: &str, outbound: SocketAddr, id: &str, key: u16, is_unsafe: bool) -> u16 {
        let at = Instant::now();
        let (method, path) = match key % 4 {
            _ if is_unsafe => ("POST", "/hold/1"),
            0 => ("GET", "/files/1"),
            _ => ("GET", "/stock/1"),
        };
        let body: &[u8] = if is_unsafe { b"{}" } else { b"" };
        let key_text = key.to_string();
        let headers = [
            ("host", HOST),
            ("x-attempt-id", id),
            ("x-deadline-ms", "1500"),
            ("x-shard-key", &key_text),
        ];
        self.record.line(&format!("client of {name} sends {method} {id} key {key}"));
        let answer = http::call(outbound, method, path, &headers, body, Duration::from_millis(1_700));
        let status = answer.as_ref().map_or(0, http::Message::status);
        let after = at.elapsed();
        self.record.line(&format!("client of {name} gets {status} for {id} after {after:?}"));
        let (id, machine) = (id.to_owned(), name.to_owned());
        let sent = Sent { id, machine, is_unsafe, key, at, status, after };
        self.sent.lock().expect("no thread has panicked").push(sent);
        status
    }

    pub fn stop(&self) {
        self.ended.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(1_800));
    }

    /// Number of requests that were sent between `from` and `to`, and of those that were answered 200.
    pub fn served(&self, from: Instant, to: Instant) -> (usize, usize) {
        let sent = self.sent.lock().expect("no thread has panicked");
        let in_time: Vec<_> = sent.iter().filter(|sent| (from..to).contains(&sent.at)).collect();
        (in_time.len(), in_time.iter().filter(|sent| sent.status == 200).count())
    }
}
