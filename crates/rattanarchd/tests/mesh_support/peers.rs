//! Other daemons that know newer configurations.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

use rattanarch_adapter_standins::NarrowLink;
use rattanarch_wire::Codec;
use rattanarch_wire::Digest;
use serde_json::Value;
use serde_json::json;

/// Key of the datagrams between daemons.
const SECRET: &[u8] = b"rattanarch datagrams";

/// Stand-ins for daemons that tell one daemon of configurations, and answer its fetches over one link.
pub struct Peers {
    ways: Vec<SocketAddr>,
    socket: UdpSocket,
    codec: Codec,
    known: Arc<Mutex<Value>>,
    fetches: Arc<Fetches>,
    /// Whether the first peer falls silent in the midst of each answer.
    silent: Arc<AtomicBool>,
}

/// Fetches that have begun.
#[derive(Default)]
struct Fetches {
    now: AtomicUsize,
    most: AtomicUsize,
    all: AtomicUsize,
}

impl Peers {
    /// Starts `count` peers, reached over `link`.
    pub fn start(count: usize, link: &NarrowLink) -> Self {
        let known = Arc::default();
        let fetches = Arc::default();
        let silent: Arc<AtomicBool> = Arc::default();
        let falls_silent = |index| if index == 0 { Arc::clone(&silent) } else { Arc::default() };
        let serve = |index| serve(&known, &fetches, &falls_silent(index));
        let ways = (0..count).map(|index| link.way_to(serve(index))).collect();
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        Self { ways, socket, codec: Codec::new(SECRET), known, fetches, silent }
    }

    /// Lets all know `configuration`.
    pub fn learn(&self, configuration: Value) {
        *self.known.lock().unwrap() = configuration;
    }

    /// Lets the first fall silent in the midst of each answer.
    pub fn silence_first(&self) {
        self.silent.store(true, Ordering::SeqCst);
    }

    /// Lets all tell the daemon at `daemon` what they know.
    pub fn tell(&self, daemon: SocketAddr) {
        (0..self.ways.len()).for_each(|index| self.tell_from(index, daemon));
    }

    /// Lets one of them do so.
    pub fn tell_from(&self, index: usize, daemon: SocketAddr) {
        let digest = Digest {
            state: self.ways[index % self.ways.len()],
            configuration: self.known.lock().unwrap()["version"].as_u64().unwrap_or_default(),
            evacuated: 0,
            records: [].into(),
            concerns: false,
            confirmed: None,
            follows: false,
        };
        let frame = self.codec.seal(&digest).unwrap();
        self.socket.send_to(&frame, daemon).unwrap();
    }

    /// Most fetches that were under way at a time.
    pub fn most_fetches(&self) -> usize {
        self.fetches.most.load(Ordering::SeqCst)
    }

    /// Fetches so far.
    pub fn fetches(&self) -> usize {
        self.fetches.all.load(Ordering::SeqCst)
    }
}

/// Serves what is known at the address that is returned.
fn serve(
    known: &Arc<Mutex<Value>>,
    fetches: &Arc<Fetches>,
    silent: &Arc<AtomicBool>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (known, fetches, silent) = (Arc::clone(known), Arc::clone(fetches), Arc::clone(silent));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (known, fetches) = (Arc::clone(&known), Arc::clone(&fetches));
            let silent = Arc::clone(&silent);
            thread::spawn(move || converse(stream, &known, &fetches, &silent));
        }
    });
    address
}

fn converse(mut stream: TcpStream, known: &Mutex<Value>, fetches: &Fetches, silent: &AtomicBool) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(asked) = read_question(&mut reader) {
        fetches.all.fetch_add(1, Ordering::SeqCst);
        let now = fetches.now.fetch_add(1, Ordering::SeqCst) + 1;
        fetches.most.fetch_max(now, Ordering::SeqCst);
        let known = known.lock().unwrap().clone();
        let newer = known["version"].as_u64() > asked["configuration"].as_u64();
        let told = json!({
            "configuration": newer.then_some(known), "evacuated": null, "records": [], "changes": [],
        });
        let body = told.to_string();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        let answer = head + &body;
        let is_silent = silent.load(Ordering::SeqCst);
        let end = if is_silent { answer.len() / 2 } else { answer.len() };
        let sent = stream.write_all(&answer.as_bytes()[..end]);
        fetches.now.fetch_sub(1, Ordering::SeqCst);
        if sent.is_err() {
            return;
        }
    }
}

/// The body of the next request; `None` once the connection has ended.
fn read_question(reader: &mut BufReader<TcpStream>) -> Option<Value> {
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let line = line.trim_end().to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        if line.is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    serde_json::from_slice(&body).ok()
}
