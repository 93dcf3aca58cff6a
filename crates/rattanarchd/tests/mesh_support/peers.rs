//! Stand-ins for daemons that have newer configurations.

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

/// Response of a peer to a fetch by a daemon that has an older configuration.
#[derive(Clone, Debug, Default)]
pub enum PeerResponse {
    /// The full configuration.
    #[default]
    Full,
    /// Configuration changes, as they are sent.
    Changes(Value),
    /// Malformed JSON in a complete response.
    Malformed,
    /// A response that the end of the connection cuts short.
    Truncated,
}

/// Peers that send digests to a daemon and respond to its fetches of state over one link.
pub struct Peers {
    addresses: Vec<SocketAddr>,
    socket: UdpSocket,
    codec: Codec,
    configuration: Arc<Mutex<Value>>,
    evacuated: Arc<Mutex<Value>>,
    fetches: Arc<FetchCounts>,
    response: Arc<Mutex<PeerResponse>>,
    /// Whether the first peer stalls in the middle of each response.
    stalled: Arc<AtomicBool>,
}

/// Numbers of fetches of state.
#[derive(Default)]
struct FetchCounts {
    active: AtomicUsize,
    max_active: AtomicUsize,
    total: AtomicUsize,
    /// Responses with a full configuration.
    full: AtomicUsize,
}

impl Peers {
    /// Starts `count` peers, which are reached over `link`.
    pub fn start(count: usize, link: &ThrottledLink) -> Self {
        let (configuration, evacuated) = (Arc::default(), Arc::default());
        let fetches = Arc::default();
        let stalled: Arc<AtomicBool> = Arc::default();
        let response = Arc::default();
        let stalled_at = |index| if index == 0 { Arc::clone(&stalled) } else { Arc::default() };
        let start = |index| {
            start_peer((&configuration, &evacuated), &fetches, &response, &stalled_at(index))
        };
        let addresses = (0..count).map(|index| link.proxy_to(start(index))).collect();
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        Self {
            addresses,
            socket,
            codec: Codec::new(SECRET),
            configuration,
            evacuated,
            fetches,
            response,
            stalled,
        }
    }

    /// Sets the evacuated data centres that all peers know, as of the store's `revision`.
    pub fn set_evacuated(&self, revision: u64, centres: &[&str]) {
        *self.evacuated.lock().unwrap() = json!({ "revision": revision, "centres": centres });
    }

    /// Sets the configuration that all peers have.
    pub fn set_configuration(&self, configuration: Value) {
        *self.configuration.lock().unwrap() = configuration;
    }

    /// Sets the response to daemons that have an older configuration and send its hash. Daemons without one
    /// get the full configuration.
    pub fn respond_with(&self, response: PeerResponse) {
        *self.response.lock().unwrap() = response;
    }

    /// Returns the number of responses with a full configuration.
    pub fn full_responses(&self) -> usize {
        self.fetches.full.load(Ordering::SeqCst)
    }

    /// Makes the first peer stall in the middle of each response.
    pub fn stall_first(&self) {
        self.stalled.store(true, Ordering::SeqCst);
    }

    /// Sends digests from all peers to the daemon with the datagram address `daemon`.
    pub fn send_digests(&self, daemon: SocketAddr) {
        (0..self.addresses.len()).for_each(|index| self.send_digest(index, daemon));
    }

    /// Sends a digest from the peer `index`, modulo the number of peers.
    pub fn send_digest(&self, index: usize, daemon: SocketAddr) {
        let digest = Digest {
            state_address: self.addresses[index % self.addresses.len()],
            configuration: self.configuration.lock().unwrap()["version"]
                .as_u64()
                .unwrap_or_default(),
            evacuated: self.evacuated.lock().unwrap()["revision"].as_u64().unwrap_or_default(),
            records: [].into(),
            affects_receiver: false,
            age_ms: None,
            follows: false,
        };
        let frame = self.codec.encode(&digest).unwrap();
        self.socket.send_to(&frame, daemon).unwrap();
    }

    /// Returns the largest number of fetches that were in progress at the same time.
    pub fn max_concurrent_fetches(&self) -> usize {
        self.fetches.max_active.load(Ordering::SeqCst)
    }

    /// Returns the number of fetches so far.
    pub fn fetches(&self) -> usize {
        self.fetches.total.load(Ordering::SeqCst)
    }
}

/// Starts a peer and returns its address.
fn start_peer(
    (configuration, evacuated): (&Arc<Mutex<Value>>, &Arc<Mutex<Value>>),
    fetches: &Arc<FetchCounts>,
    response: &Arc<Mutex<PeerResponse>>,
    stalled: &Arc<AtomicBool>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (configuration, fetches, stalled) =
        (Arc::clone(configuration), Arc::clone(fetches), Arc::clone(stalled));
    let evacuated = Arc::clone(evacuated);
    let response = Arc::clone(response);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (configuration, fetches) = (Arc::clone(&configuration), Arc::clone(&fetches));
            let (response, stalled) = (Arc::clone(&response), Arc::clone(&stalled));
            let evacuated = Arc::clone(&evacuated);
            thread::spawn(move || {
                respond(stream, (&configuration, &evacuated), &fetches, &response, &stalled);
            });
        }
    });
    address
}

fn respond(
    mut stream: TcpStream,
    (configuration, evacuated): (&Mutex<Value>, &Mutex<Value>),
    fetches: &FetchCounts,
    response: &Mutex<PeerResponse>,
    stalled: &AtomicBool,
) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(request) = read_body(&mut reader) {
        fetches.total.fetch_add(1, Ordering::SeqCst);
        let active = fetches.active.fetch_add(1, Ordering::SeqCst) + 1;
        fetches.max_active.fetch_max(active, Ordering::SeqCst);
        let configuration = configuration.lock().unwrap().clone();
        let newer = configuration["version"].as_u64() > request["configuration"].as_u64();
        let has_base = newer && request["hash"].as_u64().unwrap_or_default() != 0;
        let response = if has_base { response.lock().unwrap().clone() } else { PeerResponse::Full };
        let mut snapshot =
            json!({ "configuration": null, "evacuated": null, "records": [], "changes": [] });
        let evacuated = evacuated.lock().unwrap().clone();
        if evacuated["revision"].as_u64() > request["evacuated"].as_u64() {
            snapshot["evacuated"] = evacuated;
        }
        match &response {
            PeerResponse::Changes(changes) => snapshot["configuration_changes"] = changes.clone(),
            PeerResponse::Full if !newer => {}
            _ => {
                fetches.full.fetch_add(1, Ordering::SeqCst);
                snapshot["configuration"] = configuration;
            }
        }
        let mut body = snapshot.to_string();
        if matches!(response, PeerResponse::Malformed) {
            body.truncate(body.len() / 2);
        }
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        let message = head + &body;
        let incomplete =
            stalled.load(Ordering::SeqCst) || matches!(response, PeerResponse::Truncated);
        let end = if incomplete { message.len() / 2 } else { message.len() };
        let sent = stream.write_all(&message.as_bytes()[..end]);
        fetches.active.fetch_sub(1, Ordering::SeqCst);
        if sent.is_err() || matches!(response, PeerResponse::Truncated) {
            return;
        }
    }
}

/// Reads the body of the next request as JSON; `None` once the connection has ended.
fn read_body(reader: &mut BufReader<TcpStream>) -> Option<Value> {
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
