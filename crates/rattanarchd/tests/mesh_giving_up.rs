//! Requests that still run although a daemon has reason to give them up: planned stops, silent peers, pauses.

mod mesh_support;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mesh_support::Site;
use mesh_support::busy_peer;
use mesh_support::delayed_proxy;
use mesh_support::wait_until;
use rattanarch_adapter_standins::DESK;
use rattanarch_adapter_standins::FILES;
use rattanarch_adapter_standins::HOST;
use rattanarch_adapter_standins::Response;

/// Raises the timeout of all routes to 4 s, and waits until it is in force at all daemons.
fn raise_timeout(site: &Site) {
    site.store.configure_timeout(6, "4s");
    wait_until("the longer timeout is in force", || {
        site.daemons.iter().all(|daemon| daemon.log().contains("\"version\":6"))
    });
}

/// A stopping daemon must not end before its upstream has completed a write, even if the caller of the write has
/// gone.
#[test]
fn stop_keeps_run() {
    let mut site = Site::start(1, 0);
    raise_timeout(&site);
    let work = Duration::from_millis(3_500);
    site.upstreams[0].set_work(work);
    let mut caller = TcpStream::connect(site.daemons[0].addresses.callers).unwrap();
    write!(
        caller,
        "POST /hold/crayfish HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: h1\r\nx-deadline-ms: 4000\r\n\
         x-shard-key: 9\r\ncontent-length: 1\r\n\r\nx"
    )
    .unwrap();
    wait_until("the request runs", || site.upstreams[0].runs().len() == 1);
    let began = Instant::now();
    drop(caller);
    site.daemons[0].stop();
    site.daemons[0].wait(Duration::from_secs(6)).expect("daemon exits within the grace period");
    // The run may have begun two polls of the wait earlier.
    let least = work - Duration::from_millis(100);
    assert!(began.elapsed() >= least, "ended after {:?}", began.elapsed());
}

/// A request succeeds although the daemon that receives it does not read for a while, since it gets no processor time.
#[test]
fn body_waits() {
    let site = Site::start(1, 1);
    site.wait_members(FILES, 1);
    raise_timeout(&site);
    let body = "x".repeat(12 << 20);
    let response = thread::scope(|scope| {
        scope.spawn(|| site.daemons[1].pause(Duration::from_millis(2_600)));
        thread::sleep(Duration::from_millis(100));
        site.post(0, "/files/customs", "f1", 0, &body)
    });
    assert_eq!((response.status, response.stamped), (200, true), "{response:?}");
}

/// A daemon that is paused for less than its lease must not consider its upstream lost.
#[test]
fn paused_daemon() {
    let site = Site::start(2, 0);
    let before = site.upstreams[0].held();
    for _ in 0..6 {
        // Repeated, since it is random whether a heartbeat is waiting when the pause ends.
        site.daemons[0].pause(Duration::from_millis(1_200));
        thread::sleep(Duration::from_millis(800));
    }
    let log = site.daemons[0].log();
    assert!(!log.contains("releasing slices"), "the daemon has released keys");
    assert_eq!(site.upstreams[0].held(), before);
}

/// A response that arrives while the daemon is paused is delivered, even if it is late.
#[test]
fn response_while_paused() {
    let site = Site::start(1, 1);
    site.wait_members(FILES, 1);
    site.upstreams[1].set_work(Duration::from_millis(400));
    site.upstreams[1].set_padding(100_000);
    let response = thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(Duration::from_millis(200));
            site.daemons[1].pause(Duration::from_millis(2_000));
        });
        site.get(1, "/files/customs", "f2", 0)
    });
    let Response { status, stamped, .. } = response;
    assert_eq!((status, stamped), (200, true), "{:.80}", response.body);
}

/// A request that arrives when a stopping daemon closes the connection has not run, and its caller gets a response
/// that says so.
#[test]
fn request_at_close() {
    let site = Site::start(1, 1);
    site.wait_members(FILES, 1);
    let proxy = delayed_proxy(site.daemons[1].addresses.peers, Duration::from_millis(250));
    site.set_peer_address(FILES, "files-0", proxy);
    assert_eq!(site.get(0, "/files/customs", "f3", 0).status, 200);
    site.daemons[1].stop();
    // The next request arrives after the daemon, which is idle, has begun to close.
    thread::sleep(Duration::from_millis(2_350));
    let response = site.get(0, "/files/customs", "f4", 0);
    assert!(site.upstreams[1].runs().iter().all(|run| run.id != "f4"));
    assert_eq!(response.status, 503, "{response:?}");
}

/// A stopping daemon still accepts requests, since callers may not have noticed the stop. One that still runs when
/// the daemon ends gets a response.
#[test]
fn response_at_end() {
    let site = Site::start(2, 0);
    raise_timeout(&site);
    site.upstreams[1].set_work(Duration::from_millis(3_900));
    let key = site.upstreams[1].held()[0].0;
    site.daemons[0].stop();
    thread::sleep(Duration::from_millis(2_200));
    let response = site.get(0, "/stock/crayfish", "s1", key);
    assert!((500..=599).contains(&response.status), "{response:?}");
}

/// Requests that run at an upstream that leaves, or whose data centre is evacuated, are completed.
#[test]
fn leaving_keeps_runs() {
    let site = Site::start(3, 2);
    site.wait_members(FILES, 2);
    raise_timeout(&site);
    let work = Duration::from_millis(1_500);
    site.upstreams.iter().for_each(|upstream| upstream.set_work(work));
    let keys: Vec<u16> = site.upstreams[..2].iter().map(|desk| desk.held()[0].0).collect();
    let responses: Vec<Response> = thread::scope(|scope| {
        let get = |path: &'static str, id: &'static str, key: u16| {
            let site = &site;
            scope.spawn(move || site.get(2, path, id, key))
        };
        let requests = [
            get("/stock/crayfish", "s1", keys[0]),
            get("/hold/crayfish", "s2", keys[0]),
            get("/stock/crayfish", "s3", keys[1]),
            get("/hold/crayfish", "s4", keys[1]),
            get("/files/customs", "f1", 0),
            get("/files/customs", "f2", 0),
        ];
        wait_until("all requests run", || site.run_ids().len() == requests.len());
        site.upstreams[0].drain();
        site.upstreams[3].drain();
        site.store.evacuate("centre-1");
        requests.into_iter().map(|request| request.join().unwrap()).collect()
    });
    let lost: Vec<_> = responses.iter().filter(|r| (r.status, r.stamped) != (200, true)).collect();
    assert!(lost.is_empty(), "{lost:?}");
    assert_eq!(site.run_ids().len(), responses.len(), "each runs once");
}

/// A large response that the caller reads slowly must be sent completely, although the daemon is asked to stop and no
/// request runs at its upstream any more.
#[test]
fn stop_keeps_body() {
    let mut site = Site::start(1, 1);
    site.wait_members(FILES, 1);
    let bytes = 7 << 20;
    site.upstreams[1].set_padding(bytes);
    let mut caller = TcpStream::connect(site.daemons[0].addresses.callers).unwrap();
    rustix::net::sockopt::set_socket_recv_buffer_size(&caller, 64 << 10).unwrap();
    write!(
        caller,
        "GET /maps/danube HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: d1\r\nx-deadline-ms: 4000\r\n\r\n"
    )
    .unwrap();
    wait_until("the request has run", || site.upstreams[1].runs().len() == 1);
    thread::sleep(Duration::from_millis(500));
    site.daemons[1].stop();
    site.daemons[0].stop();
    thread::sleep(Duration::from_millis(3_500));
    let ended = site.daemons[0].wait(Duration::from_millis(50));
    assert_eq!(ended, None, "the daemon exits before the response is sent");
    let mut response = Vec::new();
    caller.read_to_end(&mut response).unwrap();
    assert!(response.len() > bytes, "{} bytes received", response.len());
    for daemon in &mut site.daemons {
        daemon.wait(Duration::from_secs(3)).expect("daemon exits within the grace period");
    }
}

/// A write waits for the response of an owner that accepts no new connections.
#[test]
fn write_waits() {
    let site = Site::start(2, 0);
    let key = site.upstreams[1].held()[0].0;
    site.upstreams[1].set_work(Duration::from_millis(1_600));
    let daemon = site.daemons[1].addresses.peers;
    site.set_peer_address(DESK, "desk-1", busy_peer(Some(daemon)));
    let response = site.post(0, "/hold/crayfish", "h1", key, "x");
    assert_eq!((response.status, response.stamped), (200, true), "{response:?}");
    assert_eq!(site.upstreams[1].runs().len(), 1);
}
