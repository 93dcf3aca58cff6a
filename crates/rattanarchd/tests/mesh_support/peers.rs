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

use rattanarch_adapter_standins::ThrottledLink;
use rattanarch_wire::Codec;
use rattanarch_wire::Digest;
use serde_json::Value;
use serde_json::json;

/// Key of the datagrams between daemons.
const SECRET: &[u8] = b"rattanarch datagrams";

/// What a peer that knows a newer configuration answers to one that knows an earlier one.
#[derive(Clone, Debug, Default)]
pub enum Told {
    /// All of it.
    #[default]
    Whole,
    /// Changes, in the form in which they travel.
    Changes(Value),
    /// Changes that break off, in an answer of the right length.
    Malformed,
    /// An answer that ends with its connection.
    CutShort,
}

/// Stand-ins for daemons that tell one daemon of configurations, and answer its fetches over one link.
pub struct Peers {
    ways: Vec<SocketAddr>,
    socket: UdpSocket,
    codec: Codec,
    known: Arc<Mutex<Value>>,
    fetches: Arc<Fetches>,
    told: Arc<Mutex<Told>>,
    /// Whether the first peer falls silent in the midst of each answer.
    silent: Arc<AtomicBool>,
}

/// Fetches that have begun.
#[derive(Default)]
struct Fetches {
    now: AtomicUsize,
    most: AtomicUsize,
    all: AtomicUsize,
    /// Answers with a whole configuration.
    whole: AtomicUsize,
}

impl Peers {
    /// Starts `count` peers, reached over `link`.
    pub fn start(count: usize, link: &ThrottledLink) -> Self {
        let known = Arc::default();
        let fetches = Arc::default();
        let silent: Arc<AtomicBool> = Arc::default();
        let told = Arc::default();
        let falls_silent = |index| if index == 0 { Arc::clone(&silent) } else { Arc::default() };
        let serve = |index| serve(&known, &fetches, &told, &falls_silent(index));
        let ways = (0..count).map(|index| link.proxy_to(serve(index))).collect();
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        Self { ways, socket, codec: Codec::new(SECRET), known, fetches, told, silent }
    }

    /// Lets all know `configuration`.
    pub fn learn(&self, configuration: Value) {
        *self.known.lock().unwrap() = configuration;
    }

    /// Lets all answer daemons that know an earlier configuration with `told`.
    pub fn answer(&self, told: Told) {
        *self.told.lock().unwrap() = told;
    }

    /// Whole configurations that were sent.
    pub fn wholes(&self) -> usize {
        self.fetches.whole.load(Ordering::SeqCst)
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
            state_address: self.ways[index % self.ways.len()],
            configuration: self.known.lock().unwrap()["version"].as_u64().unwrap_or_default(),
            evacuated: 0,
            records: [].into(),
            affects_receiver: false,
            age_ms: None,
            follows: false,
        };
        let frame = self.codec.encode(&digest).unwrap();
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
    told: &Arc<Mutex<Told>>,
    silent: &Arc<AtomicBool>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (known, fetches, silent) = (Arc::clone(known), Arc::clone(fetches), Arc::clone(silent));
    let told = Arc::clone(told);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (known, fetches) = (Arc::clone(&known), Arc::clone(&fetches));
            let (told, silent) = (Arc::clone(&told), Arc::clone(&silent));
            thread::spawn(move || converse(stream, &known, &fetches, &told, &silent));
        }
    });
    address
}

fn converse(
    mut stream: TcpStream,
    known: &Mutex<Value>,
    fetches: &Fetches,
    told: &Mutex<Told>,
    silent: &AtomicBool,
) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(asked) = read_question(&mut reader) {
        fetches.all.fetch_add(1, Ordering::SeqCst);
        let now = fetches.now.fetch_add(1, Ordering::SeqCst) + 1;
        fetches.most.fetch_max(now, Ordering::SeqCst);
        let known = known.lock().unwrap().clone();
        let newer = known["version"].as_u64() > asked["configuration"].as_u64();
        let based = newer && asked["hash"].as_u64().unwrap_or_default() != 0;
        let told = if based { told.lock().unwrap().clone() } else { Told::Whole };
        let mut snapshot =
            json!({ "configuration": null, "evacuated": null, "records": [], "changes": [] });
        match &told {
            Told::Changes(changes) => snapshot["configuration_changes"] = changes.clone(),
            Told::Whole if !newer => {}
            _ => {
                fetches.whole.fetch_add(1, Ordering::SeqCst);
                snapshot["configuration"] = known;
            }
        }
        let mut body = snapshot.to_string();
        if matches!(told, Told::Malformed) {
            body.truncate(body.len() / 2);
        }
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        let answer = head + &body;
        let breaks_off = silent.load(Ordering::SeqCst) || matches!(told, Told::CutShort);
        let end = if breaks_off { answer.len() / 2 } else { answer.len() };
        let sent = stream.write_all(&answer.as_bytes()[..end]);
        fetches.now.fetch_sub(1, Ordering::SeqCst);
        if sent.is_err() || matches!(told, Told::CutShort) {
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
