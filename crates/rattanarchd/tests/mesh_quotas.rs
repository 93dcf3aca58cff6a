//! Quotas of client accounts over several daemons.

mod mesh_support;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mesh_support::Site;
use mesh_support::wait_until;
use rattanarch_adapter_standins::FILES;
use rattanarch_adapter_standins::Store;
use rattanarch_adapter_standins::Upstream;
use serde_json::json;

/// Length of the spans in which the platform counts requests (`quota_window`).
const WINDOW: Duration = Duration::from_secs(5);

/// Most requests of the account `small` in a span: `(10 x 5 + 10) x 1.1 + 20`.
const SMALL_ALLOWED: usize = 86;

/// Most requests of the account `held` in a span: `(20 x 5 + 20) x 1.1 + 20`.
const HELD_ALLOWED: usize = 152;

/// Timeout of the routes.
const TIMEOUT: &str = "2000ms";

/// Time after which the coordinators count all daemons.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// A site of three daemons whose routes have the timeout `timeout`.
fn start(timeout: &str) -> Site {
    let store = Store::start();
    store.configure_accounts_timeout(
        5,
        &json!([
            { "name": "small", "api_keys": ["small-key"], "rate_per_s": 10.0, "burst": 10 },
            { "name": "large", "api_keys": ["large-key"], "rate_per_s": 400, "burst": 400 },
            { "name": "held", "api_keys": ["held-key"], "rate_per_s": 20.0, "burst": 20 },
            { "name": "free", "api_keys": ["free-key"] },
        ]),
        timeout,
    );
    let mut site = Site::empty(store);
    for index in 0..3 {
        site.add(FILES, &format!("files-{index}"), &format!("centre-{index}"));
    }
    wait_until("every daemon is ready", || {
        site.daemons.iter().all(|daemon| site.is_ready(daemon.addresses.ready))
    });
    thread::sleep(SETTLE_TIME);
    site
}

/// Requests of one account that were answered with 200 and 429, and how many of those were told when to return.
#[derive(Default)]
struct Counts {
    served: usize,
    limited: usize,
    with_time: usize,
}

/// Sends requests with `key` to each of `daemons` from an own thread for `time`, one every `pause`.
fn send(site: &Site, daemons: &[usize], key: &str, (time, pause): (Duration, Duration)) -> Counts {
    let end = Instant::now() + time;
    let credentials = format!("Bearer {key}");
    let name = key.trim_end_matches("-key");
    let run = |daemon: usize| {
        let mut counts = Counts::default();
        let mut index = 0;
        while Instant::now() < end {
            index += 1;
            let id = format!("{name}-{daemon}-{index}-{:p}", &end);
            let response =
                site.get_with(daemon, "/files/a", &id, &[("authorization", &credentials)]);
            counts.served += usize::from(response.status == 200);
            counts.limited += usize::from(response.status == 429);
            let has_time = response.retry_after.is_some();
            counts.with_time += usize::from(response.status == 429 && has_time);
            thread::sleep(pause);
        }
        counts
    };
    thread::scope(|scope| {
        let threads: Vec<_> = daemons.iter().map(|daemon| scope.spawn(|| run(*daemon))).collect();
        threads.into_iter().fold(Counts::default(), |sum, thread| {
            let counts = thread.join().expect("the caller ends");
            Counts {
                served: sum.served + counts.served,
                limited: sum.limited + counts.limited,
                with_time: sum.with_time + counts.with_time,
            }
        })
    })
}

/// Largest number of requests of `account` that arrived at upstreams in one span.
fn most_in_window(site: &Site, account: &str) -> usize {
    let arrivals = site.upstreams.iter().flat_map(Upstream::arrivals);
    let mut times: Vec<_> = arrivals.filter(|a| a.id.starts_with(account)).map(|a| a.at).collect();
    times.sort_unstable();
    let count = |first: Instant| times.partition_point(|at| *at <= first + WINDOW);
    (0..times.len()).map(|index| count(times[index]) - index).max().unwrap_or_default()
}

/// Guards against an account that gets its limit at each daemon, against refusals of accounts that are within theirs, and
/// against a refusal that does not say when to return.
#[test]
fn over_quota() {
    let site = start(TIMEOUT);
    let (time, all) = (Duration::from_secs(7), [0, 1, 2]);
    thread::scope(|scope| {
        let small =
            scope.spawn(|| send(&site, &all, "small-key", (time, Duration::from_millis(5))));
        let large =
            scope.spawn(|| send(&site, &all, "large-key", (time, Duration::from_millis(40))));
        let free = scope.spawn(|| send(&site, &[1], "free-key", (time, Duration::from_millis(40))));
        let small = small.join().expect("the callers end");
        let large = large.join().expect("the callers end");
        let free = free.join().expect("the callers end");
        assert!(small.limited > 0 && small.with_time == small.limited, "{}", small.limited);
        // Half of what the rate allows in that time.
        assert!(small.served >= 35, "{} served", small.served);
        assert_eq!((large.limited, free.limited), (0, 0));
        assert!(large.served > 0 && free.served > 0);
    });
    let most = most_in_window(&site, "small");
    assert!(most <= SMALL_ALLOWED, "{most} in a window");
    let metrics = site.metrics(0);
    assert!(metrics.contains("rattanarch_account_over_quota{account=\"small\"}"), "{metrics}");
    let log = site.daemons[0].log();
    assert!(log.contains("over-quota") && !log.contains("small-key"), "the reason is logged");
}

/// Guards against accounts that are refused for good after the loss of their coordinator, and against daemons that then
/// admit more than the quota.
#[test]
fn lost_coordinators() {
    let mut site = start(TIMEOUT);
    let pause = Duration::from_millis(10);
    let grants = |daemon| site.metric(daemon, "rattanarch_quota_datagrams_total{kind=\"grant\"}");
    let before: Vec<_> = (0..3).map(grants).collect();
    send(&site, &[0, 1, 2], "small-key", (Duration::from_secs(2), pause));
    // The coordinator of the account has sent most grants.
    let sent =
        |daemon: &usize| grants(*daemon).unwrap_or_default() - before[*daemon].unwrap_or_default();
    let coordinator = (0..3).max_by_key(sent).expect("there are daemons");
    site.daemons[coordinator].kill();
    let left: Vec<usize> = (0..3).filter(|daemon| *daemon != coordinator).collect();
    send(&site, &left, "small-key", (Duration::from_secs(3), pause));
    let later = send(&site, &left, "small-key", (Duration::from_secs(5), pause));
    // Two of three daemons are left, which get two thirds of the rate: 33. Half of that.
    assert!(later.served >= 16, "{} served", later.served);
    let most = most_in_window(&site, "small");
    assert!(most <= SMALL_ALLOWED, "{most} in a window");
}

/// Guards against a request that waits for a grant beyond its deadline, although its coordinator is lost.
#[test]
fn wait_within_deadline() {
    let timeout = Duration::from_millis(450);
    let mut site = start("450ms");
    let pause = Duration::from_millis(10);
    let grants = |daemon| site.metric(daemon, "rattanarch_quota_datagrams_total{kind=\"grant\"}");
    let before: Vec<_> = (0..3).map(grants).collect();
    send(&site, &[0, 1, 2], "small-key", (Duration::from_secs(2), pause));
    let sent =
        |daemon: &usize| grants(*daemon).unwrap_or_default() - before[*daemon].unwrap_or_default();
    let coordinator = (0..3).max_by_key(sent).expect("there are daemons");
    // The account is not known to be over its quota any more.
    thread::sleep(Duration::from_millis(1_500));
    site.daemons[coordinator].kill();
    let daemon = (coordinator + 1) % 3;
    let credentials = [("authorization", "Bearer small-key")];
    // The first ones may use tokens in advance.
    let limited = (0..30).find_map(|index| {
        let begin = Instant::now();
        let response = site.get_with(daemon, "/files/a", &format!("late-{index}"), &credentials);
        let took = begin.elapsed();
        assert!(took < timeout, "{took:?}, status {}", response.status);
        (response.status == 429).then_some((took, response.retry_after))
    });
    let (took, retry_after) = limited.expect("a request gets no grant");
    assert!(retry_after.is_some(), "{took:?}");
    // It waited for the grant.
    assert!(took > timeout / 5, "{took:?}");
}

/// Opens a connection to a daemon and sends a request of the account `held` on it, but for the end of its body.
fn send_start(site: &Site, daemon: usize, index: usize) -> TcpStream {
    let address = site.daemons[daemon].addresses.callers;
    let mut connection = TcpStream::connect(address).expect("it listens");
    connection.set_read_timeout(Some(Duration::from_secs(3))).expect("the timeout is valid");
    let request = format!(
        "POST /files/a HTTP/1.1\r\nhost: pound.example\r\nx-attempt-id: held-{index}\r\n\
         authorization: Bearer held-key\r\ncontent-length: 10\r\n\r\n01234"
    );
    connection.write_all(request.as_bytes()).expect("the connection is open");
    connection
}

/// Sends the rest of the body, and returns the status of the response.
fn send_end(connection: &mut TcpStream) -> String {
    connection.write_all(b"56789").expect("the connection is open");
    let mut start = [0; 12];
    connection.read_exact(&mut start).expect("a response arrives");
    String::from_utf8_lossy(&start[9..]).into_owned()
}

/// Guards against tokens of earlier windows that are used in a later one: requests are sent within the limit for some
/// seconds, and the ends of their bodies all in one window.
#[test]
fn held_bodies() {
    // Longer than the bodies are held back.
    let site = start("20s");
    let mut connections = Vec::new();
    for index in 0..210 {
        connections.push(send_start(&site, index % 3, index));
        thread::sleep(Duration::from_millis(40));
    }
    let (mut served, mut limited) = (0, 0);
    for connection in &mut connections {
        let status = send_end(connection);
        served += usize::from(status == "200");
        limited += usize::from(status == "429");
        thread::sleep(Duration::from_millis(5));
    }
    let most = most_in_window(&site, "held");
    assert!(most <= HELD_ALLOWED, "{most} in a window, {served} served, {limited} over the quota");
    // At least the burst.
    assert!(served >= 20, "{served} served, {limited} over the quota");
    // One at a time is within the limit, however long its body takes.
    thread::sleep(Duration::from_secs(1));
    let mut connection = send_start(&site, 0, 1_000);
    thread::sleep(Duration::from_millis(400));
    assert_eq!(send_end(&mut connection), "200");
}
