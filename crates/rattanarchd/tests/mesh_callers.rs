//! Callers, and clients of the daemon's other listeners, that send more, or more slowly, than the limits allow.
//!
//! The daemon's machine is named in its settings (`memory`, `descriptors`). Each test checks that the process lives, that
//! its peak resident memory and its open descriptors stay below those of the machine, and that it serves an ordinary
//! request afterwards.
#![allow(clippy::unwrap_used, reason = "as in test functions")]

mod mesh_support;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mesh_support::Site;
use mesh_support::wait_until;
use rattanarch_adapter_standins::DESK;
use rattanarch_adapter_standins::FILES;
use rattanarch_adapter_standins::HOST;

/// Held by each test while it runs: the memory of one daemon is measured without load by the others.
static ALONE: Mutex<()> = Mutex::new(());

/// Longest time that a client waits for room in the daemon's socket.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time without a change of the daemon's peak memory after which it has read what it will read.
const QUIET_TIME: Duration = Duration::from_millis(1_500);

/// Longest time to wait for that.
const MAX_READ_TIME: Duration = Duration::from_secs(40);

/// Memory in MB and descriptors of a daemon's machine.
#[derive(Clone, Copy)]
struct Machine {
    memory: usize,
    descriptors: usize,
}

/// Machine for crowds that send long bodies: two thirds of what their bodies take.
const BODIES: Machine = Machine { memory: 64, descriptors: 512 };

/// Machine for crowds of many connections.
const CONNECTIONS: Machine = Machine { memory: 40, descriptors: 512 };

/// Machine with the least memory of those known.
const SMALLEST: Machine = Machine { memory: 160, descriptors: 4_100 };

/// A daemon of the service of desks on a machine of the given size.
struct Crowded {
    site: Site,
    machine: Machine,
    _alone: MutexGuard<'static, ()>,
}

impl Crowded {
    fn start(machine: Machine) -> Self {
        let alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
        let mut site = Site::start(1, 0);
        site.daemons[0].set_machine(machine.memory, machine.descriptors);
        site.restart_daemon(0);
        site.wait_served();
        wait_until("the upstream is known again", || {
            site.get(0, "/stock/crayfish", "first", 3).status == 200
        });
        Self { site, machine, _alone: alone }
    }

    fn callers(&self) -> SocketAddr {
        self.site.daemons[0].addresses.callers
    }

    /// Waits until the daemon has read what it will read, with the crowd's connections still open, then checks what it
    /// holds and that it serves an ordinary request.
    fn check(self, crowd: Vec<Option<TcpStream>>) {
        self.check_with(crowd, |_| true);
    }

    /// Like [`Self::check`]; `ordinary` sends an ordinary request to the crowded listener and returns whether it is served.
    fn check_with(mut self, crowd: Vec<Option<TcpStream>>, ordinary: impl Fn(&Site) -> bool) {
        let start = Instant::now();
        let (mut peak, mut changed) = (0, start);
        let mut descriptors = 0;
        while changed.elapsed() < QUIET_TIME && start.elapsed() < MAX_READ_TIME {
            descriptors = descriptors.max(self.site.daemons[0].open_descriptors());
            let now = self.site.daemons[0].peak_resident_bytes();
            if now != std::mem::replace(&mut peak, now) {
                changed = Instant::now();
            }
            thread::sleep(Duration::from_millis(50));
        }
        eprintln!("peak {} KiB, {descriptors} descriptors", peak >> 10);
        wait_until("an ordinary request is served", || {
            self.site.get(0, "/stock/crayfish", "ordinary", 3).status == 200
        });
        wait_until("the crowded listener serves an ordinary request", || ordinary(&self.site));
        drop(crowd);
        let peak = self.site.daemons[0].peak_resident_bytes();
        assert!(self.site.daemons[0].wait(Duration::from_millis(20)).is_none(), "it has ended");
        assert!(peak < self.machine.memory << 20, "{peak} bytes resident");
        assert!(descriptors < self.machine.descriptors, "{descriptors} descriptors");
    }
}

/// Runs `send` on `clients` connections to `address` at once. Returns the connections, which stay open.
fn crowd(
    address: SocketAddr,
    clients: usize,
    send: impl Fn(&mut TcpStream) -> std::io::Result<()> + Sync,
) -> Vec<Option<TcpStream>> {
    let connect = || {
        let mut stream = TcpStream::connect(address).ok()?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
        // The daemon may close the connection or stop reading: it need not serve the crowd.
        let _ = send(&mut stream);
        Some(stream)
    };
    thread::scope(|scope| {
        let started: Vec<_> = (0..clients).map(|_| scope.spawn(connect)).collect();
        started.into_iter().map(|client| client.join().unwrap()).collect()
    })
}

/// Head of a request without its empty line.
fn head(method: &str, path: &str, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: c1\r\nx-shard-key: 3\r\n{more}"
    )
}

/// Length of the crowd's bodies.
const BODY_BYTES: usize = 6 << 20;

/// Guards against running out of memory when bodies of permitted size lack their last byte.
#[test]
fn unfinished_bodies() {
    let daemon = Crowded::start(BODIES);
    let head = head("POST", "/stock/crayfish", &format!("content-length: {BODY_BYTES}\r\n\r\n"));
    let body = vec![b'x'; BODY_BYTES - 1];
    let crowd = crowd(daemon.callers(), 16, |stream| {
        stream.write_all(head.as_bytes())?;
        stream.write_all(&body)
    });
    daemon.check(crowd);
}

/// Guards against running out of memory when chunked bodies have no last chunk.
#[test]
fn unfinished_chunks() {
    let daemon = Crowded::start(BODIES);
    let head = head("POST", "/stock/crayfish", "transfer-encoding: chunked\r\n\r\n");
    let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x1_0000)).repeat(BODY_BYTES >> 16);
    let crowd = crowd(daemon.callers(), 16, |stream| {
        stream.write_all(head.as_bytes())?;
        stream.write_all(chunk.as_bytes())
    });
    daemon.check(crowd);
}

/// Guards against an overhead per chunk: bodies of 250 kB that are sent in chunks of one byte.
#[test]
fn tiny_chunks() {
    let daemon = Crowded::start(BODIES);
    let head = head("POST", "/stock/crayfish", "transfer-encoding: chunked\r\n\r\n");
    let chunks = "1\r\nx\r\n".repeat(250_000);
    let crowd = crowd(daemon.callers(), 10, |stream| {
        stream.write_all(head.as_bytes())?;
        stream.write_all(chunks.as_bytes())
    });
    daemon.check(crowd);
}

/// Guards against unbounded connections and head buffers when heads do not end.
#[test]
fn unfinished_heads() {
    let daemon = Crowded::start(CONNECTIONS);
    let head = head("GET", "/stock/crayfish", &format!("x-long: {}", "x".repeat(60_000)));
    let crowd = crowd(daemon.callers(), 700, |stream| stream.write_all(head.as_bytes()));
    daemon.check(crowd);
}

/// Guards against holding what is sent ahead: requests of many short fields whose responses are not read.
#[test]
fn unread_responses() {
    let daemon = Crowded::start(CONNECTIONS);
    let fields: String = (0..85).map(|number| format!("x-{number}: y\r\n")).collect();
    let request = head("GET", "/stock/crayfish", &format!("{fields}\r\n")).repeat(60);
    let crowd = crowd(daemon.callers(), 500, |stream| stream.write_all(request.as_bytes()));
    daemon.check(crowd);
}

/// Guards against running out of memory when long responses are not read.
#[test]
fn unread_downloads() {
    let daemon = Crowded::start(BODIES);
    daemon.site.upstreams[0].set_padding(7 << 20);
    let head = head("GET", "/stock/crayfish", "\r\n");
    let download = |stream: &mut TcpStream| {
        stream.set_read_timeout(Some(WRITE_TIMEOUT))?;
        stream.write_all(head.as_bytes())?;
        // The response has begun, and the rest is not read.
        stream.read_exact(&mut [0; 12])
    };
    // One after another, so that the daemon reads few from its upstream at once.
    let crowd = (0..24).flat_map(|_| crowd(daemon.callers(), 1, download)).collect();
    daemon.site.upstreams[0].set_padding(0);
    daemon.check(crowd);
}

/// Guards against connections that use up the descriptors at listeners and paths that serve no requests of callers.
#[test]
fn idle_crowd() {
    let daemon = Crowded::start(CONNECTIONS);
    let without_route = format!("GET /none HTTP/1.1\r\nhost: {HOST}\r\n\r\n");
    let ready = "GET /readyz HTTP/1.1\r\nhost: daemon\r\n\r\n";
    let mut crowds =
        crowd(daemon.callers(), 300, |stream| stream.write_all(without_route.as_bytes()));
    let address = daemon.site.daemons[0].addresses.ready;
    crowds.extend(crowd(address, 300, |stream| stream.write_all(ready.as_bytes())));
    daemon.check(crowds);
}

/// Guards against connections of refused requests that can't be closed for new ones while the rest of a body is awaited.
#[test]
fn refused_bodies() {
    let daemon = Crowded::start(CONNECTIONS);
    let refused = head("POST", "/none", "content-length: 60000\r\n\r\nx");
    let crowd = crowd(daemon.callers(), 300, |stream| stream.write_all(refused.as_bytes()));
    // The last requests have been refused; the rest of their bodies is awaited for a second.
    thread::sleep(Duration::from_millis(100));
    let request = head("GET", "/stock/crayfish", "\r\n");
    assert_eq!(status_line(daemon.callers(), &request), "HTTP/1.1 200 OK");
    daemon.check(crowd);
}

/// Guards against a 413 that is lost because the connection is reset while the caller still sends the body.
#[test]
fn announced_too_long() {
    let daemon = Crowded::start(SMALLEST);
    let head = head("POST", "/stock/crayfish", "content-length: 100000000\r\n\r\n");
    let mut connection = TcpStream::connect(daemon.callers()).unwrap();
    connection.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    connection.write_all(head.as_bytes()).unwrap();
    for _ in 0..6 {
        connection.write_all(&[b'x'; 10_000]).expect("the daemon takes the body");
        thread::sleep(Duration::from_millis(100));
    }
    let mut response = String::new();
    connection.read_to_string(&mut response).expect("the connection ends without a reset");
    assert!(response.starts_with("HTTP/1.1 413"), "{response}");
    assert!(daemon.site.daemons[0].log().contains("body-too-long"));
}

/// Sends `request` on a new connection to `address`; returns the status line, which is empty if there is no response.
fn status_line(address: SocketAddr, request: &str) -> String {
    let exchange = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(WRITE_TIMEOUT))?;
        stream.write_all(request.as_bytes())?;
        let mut response = [0; 64];
        let length = stream.read(&mut response)?;
        Ok(String::from_utf8_lossy(&response[..length]).lines().next().unwrap_or_default().into())
    };
    exchange().unwrap_or_default()
}

/// A POST request for `path` with the body `body`, whose last `missing` bytes are not sent.
fn post(path: &str, more: &str, body: &str, missing: usize) -> String {
    let (length, sent) = (body.len(), &body[..body.len() - missing]);
    format!("POST {path} HTTP/1.1\r\nhost: daemon\r\n{more}content-length: {length}\r\n\r\n{sent}")
}

/// A head of permitted length that lacks its end.
fn unfinished_head(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: daemon\r\nx-long: {}", "x".repeat(14_000))
}

/// Sends each of `loads`, the number of clients and what each of them sends, to `address`, all at once.
fn mixed_crowd(address: SocketAddr, loads: &[(usize, String)]) -> Vec<Option<TcpStream>> {
    thread::scope(|scope| {
        let start = |(clients, bytes): &'_ (usize, String)| {
            let (clients, bytes) = (*clients, bytes.clone());
            scope
                .spawn(move || crowd(address, clients, |stream| stream.write_all(bytes.as_bytes())))
        };
        let started: Vec<_> = loads.iter().map(start).collect();
        started.into_iter().flat_map(|load| load.join().unwrap()).collect()
    })
}

/// Guards against running out of memory or connections at the listener for peers: heads and bodies of forwarded requests
/// and store calls that do not end, and configurations that are fetched and not read.
#[test]
fn crowd_at_peers() {
    let mut daemon = Crowded::start(BODIES);
    daemon.site.add(FILES, "files-0", "centre-1");
    wait_until("the daemon serves a peer", || {
        daemon.site.get(1, "/stock/crayfish", "peer", 3).status == 200
    });
    daemon.site.store.configure_large(6, "/stock/", 1_000);
    wait_until("the long configuration is in force", || {
        daemon.site.daemons[0].log().contains("\"version\":6")
    });
    let address = daemon.site.daemons[0].addresses.peers;
    let fetch =
        post("/rattanarch/state", "", r#"{"configuration":5,"evacuated":0,"records":{}}"#, 0);
    assert_eq!(status_line(address, &fetch), "HTTP/1.1 200 OK");
    let forward = format!(
        "rattanarch-forward: {DESK} {FILES} 1 1000 4000 safe 3 small first - 0\r\nx-attempt-id: c1\r\nx-shard-key: 3\r\n"
    );
    let forwarded = post("/stock/crayfish", &forward, "short", 0);
    assert_eq!(status_line(address, &forwarded), "HTTP/1.1 200 OK");
    let loads = [
        (200, unfinished_head("/stock/crayfish")),
        (16, post("/stock/crayfish", &forward, &"x".repeat(BODY_BYTES), 1)),
        (32, post("/rattanarch/store", "", &"x".repeat(2 << 20), 1)),
        (100, fetch.repeat(40)),
    ];
    let clients = mixed_crowd(address, &loads);
    daemon.check_with(clients, |site| site.get(1, "/stock/crayfish", "peer", 3).status == 200);
}

/// Guards against running out of memory or connections at the listener for the upstream: heads and heartbeats that do not
/// end, and responses that are not read.
#[test]
fn crowd_at_upstream() {
    let daemon = Crowded::start(CONNECTIONS);
    let address = daemon.site.daemons[0].addresses.control;
    let path = "/Instances.Heartbeat/i-other";
    let foreign = post(path, "", "{}", 0);
    assert_eq!(status_line(address, &foreign), "HTTP/1.1 400 Bad Request");
    let loads = [
        (300, unfinished_head(path)),
        (100, post(path, "", &"x".repeat(256 << 10), 1)),
        (100, foreign.repeat(20_000)),
    ];
    let clients = mixed_crowd(address, &loads);
    daemon.check_with(clients, |site| {
        site.held_keys() == 65_536 && status_line(address, &foreign).contains(" 400 ")
    });
}

/// Guards against running out of memory or connections at the listener for metrics: heads and bodies that do not end, and
/// metrics that are not read.
#[test]
fn crowd_at_metrics() {
    let daemon = Crowded::start(CONNECTIONS);
    let address = daemon.site.daemons[0].addresses.metrics;
    let get = "GET /metrics HTTP/1.1\r\nhost: daemon\r\n\r\n";
    let loads = [
        (300, unfinished_head("/metrics")),
        (16, post("/metrics", "", &"x".repeat(BODY_BYTES), 1)),
        (200, get.repeat(2_000)),
    ];
    let clients = mixed_crowd(address, &loads);
    daemon.check_with(clients, |_| status_line(address, get).contains(" 200 "));
}

/// Guards against a long urgent body that waits for less urgent ones which came before it.
#[test]
fn long_bodies_by_rank() {
    let daemon = Crowded::start(SMALLEST);
    let site = &daemon.site;
    site.store.configure_timeout(6, "8s");
    wait_until("the long timeout is in force", || site.daemons[0].log().contains("\"version\":6"));
    site.upstreams[0].set_work(Duration::from_millis(1_200));
    let body = "x".repeat(12 << 20);
    let send = |path: &str, id: &str| site.post(0, path, id, 3, &body);
    thread::scope(|scope| {
        scope.spawn(|| send("/stock/crayfish", "running"));
        thread::sleep(Duration::from_millis(300));
        // Its wait may end before its turn comes.
        scope.spawn(|| send("/stock/crayfish", "deferrable"));
        thread::sleep(Duration::from_millis(300));
        let urgent = scope.spawn(|| send("/hold/crayfish", "urgent")).join().unwrap();
        assert_eq!(urgent.status, 200, "{urgent:?}");
    });
    let ids = site.run_ids();
    let place = |id: &str| ids.iter().position(|run| run == id);
    assert!(place("running").is_some() && place("running") < place("urgent"), "{ids:?}");
    assert!(place("deferrable").is_none_or(|place_of| Some(place_of) > place("urgent")), "{ids:?}");
}

/// Guards against a limit below that of the configuration: a body of 64 MiB is served under calm conditions, at the
/// daemon that accepts it and at the one that it is forwarded to, on machines with the least memory.
#[test]
fn largest_body() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let mut site = Site::start(1, 1);
    site.store.configure_timeout(6, "30s");
    for daemon in 0..2 {
        site.daemons[daemon].set_machine(SMALLEST.memory, SMALLEST.descriptors);
        site.restart_daemon(daemon);
    }
    site.wait_served();
    wait_until("the file service is reached", || {
        site.get(0, "/files/customs", "first", 3).status == 200
    });
    let length = 64 << 20;
    let head = head(
        "POST",
        "/files/customs",
        &format!("content-length: {length}\r\nconnection: close\r\n\r\n"),
    );
    let body = vec![b'x'; length];
    let mut stream = TcpStream::connect(site.daemons[0].addresses.callers).unwrap();
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(&body).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    assert!(response.starts_with("HTTP/1.1 200"), "{response:.200}");
    for daemon in &site.daemons {
        let peak = daemon.peak_resident_bytes();
        eprintln!("peak {} KiB", peak >> 10);
        assert!(peak < SMALLEST.memory << 20, "{peak} bytes resident");
    }
}
