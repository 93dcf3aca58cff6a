//! Rate limits that upstreams name in their responses.

mod mesh_support;

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mesh_support::Site;
use mesh_support::wait_until;
use rattanarch_adapter_standins::FILES;
use rattanarch_adapter_standins::Notices;
use rattanarch_adapter_standins::Response;
use rattanarch_adapter_standins::Upstream;

/// Length of the window in which the platform counts requests against a limit.
const WINDOW: Duration = Duration::from_secs(4);

/// Time after the first response with a limit from which the platform holds daemons to it.
const STABLE: Duration = Duration::from_secs(3);

/// Metric of the limit that is in force, in thousandths of a request a second.
const LIMIT_METRIC: &str = "rattanarch_upstream_rate_limit_milli";

/// Number of callers that send one request after the other.
const CALLERS: usize = 6;

/// Most requests that the platform allows in a window for a limit of `rate` requests a second.
fn allowed(rate: f64) -> usize {
    (rate * WINDOW.as_secs_f64() * 1.5) as usize + 5
}

/// Largest number of requests that reached `upstream` in one window since `from`.
fn most_in_window(upstream: &Upstream, from: Instant) -> usize {
    let arrivals = upstream.arrivals();
    let since: Vec<_> = arrivals.iter().map(|a| a.at).filter(|at| *at >= from).collect();
    let in_window =
        |first: Instant| since.iter().filter(|at| (first..first + WINDOW).contains(*at)).count();
    since.iter().map(|first| in_window(*first)).max().unwrap_or_default()
}

/// Sends requests for `path` to each of `daemons` in turn for `duration`, and returns the responses. Every third
/// request for keys is a write. Callers that are refused pause for 20 ms.
fn send_load(site: &Site, daemons: &[usize], path: &str, duration: Duration) -> Vec<Response> {
    let end = Instant::now() + duration;
    let next = AtomicU32::new(0);
    let send = || {
        let mut responses = Vec::new();
        while Instant::now() < end {
            let index = next.fetch_add(1, Ordering::Relaxed);
            let daemon = daemons[index as usize % daemons.len()];
            let id = format!("l{:p}-{index}", &next);
            let key = (index % 64) as u16 * 1_024;
            let response = match index % 3 {
                0 if path == "/stock/a" => site.post(daemon, "/hold/a", &id, key, "crate"),
                _ => site.get(daemon, path, &id, key),
            };
            if response.status != 200 {
                thread::sleep(Duration::from_millis(20));
            }
            responses.push(response);
        }
        responses
    };
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS).map(|_| scope.spawn(send)).collect();
        callers.into_iter().flat_map(|caller| caller.join().expect("caller ends")).collect()
    })
}

/// An upstream that names a limit gets no more than that from all daemons together, reads, writes, queued requests and
/// requests that were refused before included, and not much less.
#[test]
fn rate_above_limit() {
    let site = Site::start(1, 1);
    let desk = &site.upstreams[0];
    desk.set_work(Duration::from_millis(50));
    desk.set_rate_limit("10");
    assert_eq!(site.get(1, "/stock/a", "first", 1).status, 200);
    let named = Instant::now();
    let responses = send_load(&site, &[0, 1], "/stock/a", Duration::from_secs(8));
    let most = most_in_window(desk, named + STABLE);
    assert!(most <= allowed(10.0), "{most} requests in {WINDOW:?}");
    assert!(most >= 36, "only {most} requests in {WINDOW:?}");
    let refused: Vec<_> = responses.iter().filter(|response| response.status != 200).collect();
    assert!(
        refused.iter().all(|r| (r.status, r.body.as_str()) == (503, "rate-limited")),
        "{refused:?}"
    );
    assert!(refused.iter().all(|response| response.retry_after.is_some()));
    assert_eq!(site.metric(0, LIMIT_METRIC), Some(10_000));
}

/// A daemon that starts anew beside an upstream with a limit knows none, while others go on sending.
#[test]
fn limit_lost_by_restart() {
    let mut site = Site::start(1, 1);
    site.upstreams[0].set_work(Duration::from_millis(50));
    site.upstreams[0].set_rate_limit("0.5");
    assert_eq!(site.get(1, "/stock/a", "first", 1).status, 200);
    let named = Instant::now();
    for _ in 0..6 {
        site.daemons[0].kill();
        site.daemons[0].restart();
        send_load(&site, &[1], "/stock/a", Duration::from_millis(1_500));
    }
    let desk = &site.upstreams[0];
    let most = most_in_window(desk, named + STABLE);
    assert!(most <= allowed(0.5), "{most} requests in {WINDOW:?}");
    assert!(desk.arrivals().len() > 3, "hardly any request was served");
}

/// An upstream that takes no requests gets none, its callers are refused at once, and it is asked again so that the end
/// of its limit is noticed without a request.
#[test]
fn limit_never_ends() {
    let site = Site::start(1, 1);
    let desk = &site.upstreams[0];
    desk.set_rate_limit("0");
    assert_eq!(site.get(1, "/stock/a", "first", 1).status, 200);
    wait_until("a caller is refused", || site.get(0, "/stock/a", "second", 1).status == 503);
    let arrived = desk.arrivals().len();
    let sent = Instant::now();
    assert_eq!(site.get(1, "/stock/a", "third", 1).status, 503);
    assert!(sent.elapsed() < Duration::from_millis(300), "refused after {:?}", sent.elapsed());
    thread::sleep(Duration::from_secs(3));
    assert_eq!(desk.arrivals().len(), arrived, "requests above the limit");
    desk.set_notices(Notices::default());
    let lifted = Instant::now();
    wait_until("a caller is served", || site.get(1, "/stock/a", "fourth", 1).status == 200);
    assert!(lifted.elapsed() < Duration::from_secs(3), "served after {:?}", lifted.elapsed());
    let checks = desk.health_checks();
    assert!(checks <= 9, "{checks} health checks");
}

/// A limit that can't be read changes nothing and is logged, and of several the lowest counts.
#[test]
fn malformed_limits() {
    let site = Site::start(1, 0);
    let desk = &site.upstreams[0];
    let in_force = |limits: &[&str], id: &str| {
        let limits = limits.iter().map(|limit| (*limit).to_owned()).collect();
        desk.set_notices(Notices { limits, ..Notices::default() });
        wait_until("a caller is served", || site.get(0, "/stock/a", id, 1).status == 200);
        site.metric(0, LIMIT_METRIC)
    };
    assert_eq!(in_force(&["500.5"], "a"), Some(500_500));
    for (index, text) in ["-5", "few", "30/s", "NaN", "inf", "1e3", "", "4,5"].iter().enumerate() {
        assert_eq!(in_force(&[text], &format!("m{index}")), Some(500_500), "{text:?}");
    }
    assert_eq!(in_force(&["400", "few"], "mixed"), Some(500_500));
    assert!(site.daemons[0].log().contains("upstream rate limit malformed"));
    assert_eq!(in_force(&["400", "300"], "twice"), Some(300_000));
    assert_eq!(in_force(&["99999999999999999999"], "huge"), Some(i64::MAX));
    assert_eq!(in_force(&[], "none"), Some(-1));
}

/// What one instance of a service without keys can't take goes to another one, and costs no repeats.
#[test]
fn limited_instance_avoided() {
    let site = Site::start(1, 2);
    site.wait_members(FILES, 2);
    site.upstreams[1].set_rate_limit("3");
    wait_until("the limit is known", || {
        site.get(0, "/files/a", "first", 1);
        site.metric(1, LIMIT_METRIC) == Some(3_000)
    });
    let named = Instant::now();
    let responses = send_load(&site, &[0, 1, 2], "/files/a", Duration::from_secs(7));
    let failed: Vec<_> = responses.iter().filter(|response| response.status != 200).collect();
    assert!(failed.is_empty(), "{} of {}: {:?}", failed.len(), responses.len(), failed[0]);
    let most = most_in_window(&site.upstreams[1], named + STABLE);
    assert!(most <= allowed(3.0), "{most} requests in {WINDOW:?}");
    let repeats =
        (0..3).map(|daemon| site.metrics(daemon)).any(|m| m.contains("rattanarch_repeats"));
    assert!(!repeats, "refused requests were counted as repeats");
}

/// Keys move from an upstream with a limit to those that can take more.
#[test]
fn limited_owner_relieved() {
    let site = Site::start(3, 0);
    for desk in &site.upstreams {
        desk.set_work(Duration::from_millis(20));
    }
    site.upstreams[0].set_rate_limit("20");
    let served = |responses: &[Response]| responses.iter().filter(|r| r.status == 200).count();
    let early = send_load(&site, &[0, 1, 2], "/stock/a", Duration::from_secs(3));
    send_load(&site, &[0, 1, 2], "/stock/a", Duration::from_secs(7));
    let late = send_load(&site, &[0, 1, 2], "/stock/a", Duration::from_secs(3));
    let ratio = served(&late) as f64 / late.len() as f64;
    assert!(
        ratio > 0.95,
        "{} of {} served, {} of {} at first",
        served(&late),
        late.len(),
        served(&early),
        early.len()
    );
}
