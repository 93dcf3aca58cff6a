//! Work that goes on while a daemon has reason to think that it does not.

mod mesh_support;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mesh_support::Site;
use mesh_support::busy_machine;
use mesh_support::late_machine;
use mesh_support::wait_until;
use rattanarch_adapter_standins::DESK;
use rattanarch_adapter_standins::FILES;
use rattanarch_adapter_standins::HOST;
use rattanarch_adapter_standins::Response;

/// Lets requests take 4 s, and waits until all daemons know.
fn allow_long_work(site: &Site) {
    site.store.configure_timeout(6, "4s");
    wait_until("the longer time is in force", || {
        site.daemons.iter().all(|daemon| daemon.log().contains("\"version\":6"))
    });
}

/// A daemon that is asked to stop leaves its upstream the time to end what must run once and whole, also
/// when the caller has gone.
#[test]
fn stop_keeps_run() {
    let mut site = Site::start(1, 0);
    allow_long_work(&site);
    let work = Duration::from_millis(3_500);
    site.upstreams[0].set_work(work);
    let mut caller = TcpStream::connect(site.daemons[0].addresses.callers).unwrap();
    write!(
        caller,
        "POST /hold/crayfish HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: h1\r\nx-deadline-ms: 4000\r\n\
         x-shard-key: 9\r\ncontent-length: 1\r\n\r\nx"
    )
    .unwrap();
    wait_until("it runs", || site.upstreams[0].runs().len() == 1);
    let began = Instant::now();
    drop(caller);
    site.daemons[0].stop();
    site.daemons[0].wait(Duration::from_secs(6)).expect("it ends within its grace");
    // The run began up to two looks of the wait before.
    let least = work - Duration::from_millis(100);
    assert!(began.elapsed() >= least, "cut after {:?}", began.elapsed());
}

/// A request that a daemon has not read to its end for a while, as it gets no processor time, is served.
#[test]
fn body_waits() {
    let site = Site::start(1, 1);
    site.wait_members(FILES, 1);
    allow_long_work(&site);
    let body = "x".repeat(12 << 20);
    let answer = thread::scope(|scope| {
        scope.spawn(|| site.daemons[1].pause(Duration::from_millis(2_600)));
        thread::sleep(Duration::from_millis(100));
        site.send(0, "/files/customs", "f1", 0, &body)
    });
    assert_eq!((answer.status, answer.stamped), (200, true), "{answer:?}");
}

/// A daemon that got no processor time for less than its lease does not take its upstream for lost.
#[test]
fn late_daemon() {
    let site = Site::start(2, 0);
    let before = site.upstreams[0].held();
    for _ in 0..6 {
        // Whether a heartbeat waits at its end is up to chance.
        site.daemons[0].pause(Duration::from_millis(1_200));
        thread::sleep(Duration::from_millis(800));
    }
    let log = site.daemons[0].log();
    assert!(!log.contains("releasing slices"), "its keys are given up");
    assert_eq!(site.upstreams[0].held(), before);
}

/// An answer that came while the daemon got no processor time is delivered, also late.
#[test]
fn answer_while_paused() {
    let site = Site::start(1, 1);
    site.wait_members(FILES, 1);
    site.upstreams[1].set_work(Duration::from_millis(400));
    site.upstreams[1].set_padding(100_000);
    let answer = thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(Duration::from_millis(200));
            site.daemons[1].pause(Duration::from_millis(2_000));
        });
        site.ask(1, "/files/customs", "f2", 0)
    });
    let Response { status, stamped, .. } = answer;
    assert_eq!((status, stamped), (200, true), "{:.80}", answer.body);
}

/// A request that meets the end of a connection at a planned stop has not run, and its caller is told so.
#[test]
fn stop_meets_request() {
    let site = Site::start(1, 1);
    site.wait_members(FILES, 1);
    let late = late_machine(site.daemons[1].addresses.peers, Duration::from_millis(250));
    site.reach_at(FILES, "files-0", late);
    assert_eq!(site.ask(0, "/files/customs", "f3", 0).status, 200);
    site.daemons[1].stop();
    // It arrives after the daemon, which has nothing to do, begins to close.
    thread::sleep(Duration::from_millis(2_350));
    let answer = site.ask(0, "/files/customs", "f4", 0);
    assert!(site.upstreams[1].runs().iter().all(|run| run.id != "f4"));
    assert_eq!(answer.status, 503, "{answer:?}");
}

/// A request that was taken by a stopping daemon, whose callers may not have heard of the stop, is told of its end.
#[test]
fn told_at_end() {
    let site = Site::start(2, 0);
    allow_long_work(&site);
    site.upstreams[1].set_work(Duration::from_millis(3_900));
    let key = site.upstreams[1].held()[0].0;
    site.daemons[0].stop();
    thread::sleep(Duration::from_millis(2_200));
    let answer = site.ask(0, "/stock/crayfish", "s1", key);
    assert!((500..=599).contains(&answer.status), "{answer:?}");
}

/// What runs at an upstream that leaves, or whose data centre is taken out, is answered.
#[test]
fn leaving_keeps_runs() {
    let site = Site::start(3, 2);
    site.wait_members(FILES, 2);
    allow_long_work(&site);
    let work = Duration::from_millis(1_500);
    site.upstreams.iter().for_each(|upstream| upstream.set_work(work));
    let keys: Vec<u16> = site.upstreams[..2].iter().map(|desk| desk.held()[0].0).collect();
    let answers: Vec<Response> = thread::scope(|scope| {
        let ask = |path: &'static str, id: &'static str, key: u16| {
            let site = &site;
            scope.spawn(move || site.ask(2, path, id, key))
        };
        let asked = [
            ask("/stock/crayfish", "s1", keys[0]),
            ask("/hold/crayfish", "s2", keys[0]),
            ask("/stock/crayfish", "s3", keys[1]),
            ask("/hold/crayfish", "s4", keys[1]),
            ask("/files/customs", "f1", 0),
            ask("/files/customs", "f2", 0),
        ];
        wait_until("all run", || site.run_ids().len() == asked.len());
        site.upstreams[0].drain();
        site.upstreams[3].drain();
        site.store.evacuate("centre-1");
        asked.into_iter().map(|asked| asked.join().unwrap()).collect()
    });
    let lost: Vec<_> = answers.iter().filter(|a| (a.status, a.stamped) != (200, true)).collect();
    assert!(lost.is_empty(), "{lost:?}");
    assert_eq!(site.run_ids().len(), answers.len(), "each once");
}

/// A large answer that its caller reads slowly arrives whole, although the daemon is asked to stop meanwhile and
/// nothing runs any more.
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
    wait_until("it ran", || site.upstreams[1].runs().len() == 1);
    thread::sleep(Duration::from_millis(500));
    site.daemons[1].stop();
    site.daemons[0].stop();
    thread::sleep(Duration::from_millis(3_500));
    let ended = site.daemons[0].wait(Duration::from_millis(50));
    assert_eq!(ended, None, "most of the answer is still to be sent");
    let mut answer = Vec::new();
    caller.read_to_end(&mut answer).unwrap();
    assert!(answer.len() > bytes, "{} bytes came", answer.len());
    for daemon in &mut site.daemons {
        daemon.wait(Duration::from_secs(3)).expect("it ends within its grace");
    }
}

/// A request that must not run twice waits for the answer of an owner that takes no further connection.
#[test]
fn once_waits() {
    let site = Site::start(2, 0);
    let key = site.upstreams[1].held()[0].0;
    site.upstreams[1].set_work(Duration::from_millis(1_600));
    let daemon = site.daemons[1].addresses.peers;
    site.reach_at(DESK, "desk-1", busy_machine(Some(daemon)));
    let answer = site.send(0, "/hold/crayfish", "h1", key, "x");
    assert_eq!((answer.status, answer.stamped), (200, true), "{answer:?}");
    assert_eq!(site.upstreams[1].runs().len(), 1);
}
