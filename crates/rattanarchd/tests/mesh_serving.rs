//! Requests through daemons on the platform, their retries and their failures.

mod mesh_support;

use std::thread;
use std::time::Duration;

use mesh_support::Site;
use mesh_support::wait_until;
use rattanarch_adapter_standins::FILES;

/// Every daemon serves every key by forwarding the request to the upstream that holds the key, and returns the
/// upstream's response unaltered.
#[test]
fn every_key_served() {
    let site = Site::start(3, 1);
    for (index, key) in (0..=u16::MAX).step_by(3_001).enumerate() {
        let id = format!("a{index}");
        let response = site.get(index % 4, "/stock/crayfish", &id, key);
        assert_eq!((response.status, response.stamped), (200, true), "{response:?}");
        assert_eq!(response.body, format!("answer to {id}"));
    }
    let runs: Vec<_> = site.upstreams.iter().flat_map(|upstream| upstream.runs()).collect();
    assert_eq!(runs.len(), 22, "each request runs once");
    assert!(runs.iter().any(|run| run.caller == FILES), "upstreams receive the caller's service");
}

/// Writes arrive completely and once. Requests to services without keys can run at any instance.
#[test]
fn writes_and_files() {
    let site = Site::start(2, 2);
    let response = site.post(2, "/hold/batch", "b1", 77, "twelve crates");
    assert_eq!((response.status, response.stamped), (200, true), "{response:?}");
    let runs: Vec<_> = site.upstreams.iter().flat_map(|upstream| upstream.runs()).collect();
    assert_eq!((runs.len(), runs[0].body.as_slice()), (1, &b"twelve crates"[..]));
    assert_eq!(site.get(0, "/files/customs", "b2", 0).status, 200);
    assert_eq!(site.get(0, "/nowhere/", "b3", 0).status, 404);
}

/// A request that its upstream refuses is retried within the budget, and refused requests have not run.
#[test]
fn refusal_retried() {
    let site = Site::start(1, 0);
    site.upstreams[0].refuse(1);
    assert_eq!(site.get(0, "/stock/crayfish", "c1", 5).status, 200);
    site.upstreams[0].refuse(50);
    let response = site.post(0, "/hold/batch", "c2", 5, "one crate");
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.retry_after.is_some(), "the refusal has no time to retry after");
    assert_eq!(site.run_ids(), ["c1"]);
}

/// A request that its upstream refuses because it has not applied the grant of the key yet is served once it has.
#[test]
fn grant_not_applied() {
    let site = Site::start(1, 1);
    for (index, daemon) in [0, 1].into_iter().enumerate() {
        site.upstreams[0].misdirect(1);
        let read = site.get(daemon, "/stock/crayfish", &format!("g{index}"), 5);
        assert_eq!((read.status, read.stamped), (200, true), "{read:?}");
        site.upstreams[0].misdirect(1);
        let write = site.post(daemon, "/hold/batch", &format!("w{index}"), 5, "one crate");
        assert_eq!((write.status, write.stamped), (200, true), "{write:?}");
    }
    assert_eq!(site.run_ids(), ["g0", "w0", "g1", "w1"]);
}

/// A request that one instance of a service without keys refuses goes to another instance, even if the caller has set
/// a key.
#[test]
fn refusal_elsewhere() {
    let site = Site::start(1, 2);
    for (daemon, refusing) in [(1, 1), (2, 2)] {
        site.wait_members(FILES, 2);
        wait_until("the instances are known", || {
            site.get(daemon, "/files/customs", "f0", 7).status == 200
        });
        site.upstreams[refusing].refuse(50);
        let response = site.get(daemon, "/files/customs", &format!("f{daemon}"), 7);
        assert_eq!((response.status, response.stamped), (200, true), "{response:?}");
        site.upstreams[refusing].refuse(0);
    }
}

/// If every instance of a service without keys refuses, the caller gets the reason of the refusals rather than a
/// report that there is no instance.
#[test]
fn all_refuse() {
    let site = Site::start(1, 2);
    site.wait_members(FILES, 2);
    wait_until("the instances are known", || site.get(0, "/files/customs", "u0", 7).status == 200);
    site.upstreams[1].refuse(50);
    site.upstreams[2].refuse(50);
    let response = site.get(0, "/files/customs", "u1", 7);
    assert_eq!(
        (response.status, response.body.as_str()),
        (503, "upstream-refused"),
        "{response:?}"
    );
}

/// A nested call, which an upstream makes for a request that it runs, precedes queued requests of callers: if it were
/// refused, a request that already holds a slot would fail.
#[test]
fn nested_call_first() {
    let site = Site::start(1, 1);
    wait_until("the instance is known", || site.get(0, "/files/customs", "v0", 7).status == 200);
    // Longer than it takes until all requests have arrived, so that slots become free one after another.
    site.upstreams[0].set_work(Duration::from_millis(600));
    site.upstreams[1].set_work(Duration::from_millis(1_500));
    thread::scope(|scope| {
        let get = |daemon: usize, path: &'static str, id: String| {
            scope.spawn({
                let site = &site;
                move || site.get(daemon, path, &id, 7).status
            });
            thread::sleep(Duration::from_millis(60));
        };
        get(1, "/files/customs", "v1".to_owned());
        // Four run at the same time, the others are queued.
        for number in 0..7 {
            get(0, "/stock/crayfish", format!("w{number}"));
        }
        get(1, "/stock/crayfish", "v1.1".to_owned());
    });
    let ids: Vec<_> = site.upstreams[0].runs().into_iter().map(|run| run.id).collect();
    assert_eq!(ids.iter().position(|id| id == "v1.1"), Some(4), "{ids:?}");
}

/// A nested call for a request that is itself a retry counts as a retry, even if another daemon retried the request.
/// A nested call for a first attempt does not.
#[test]
fn nested_calls_counted() {
    let site = Site::start(1, 1);
    wait_until("the instance is known", || site.get(0, "/files/customs", "x0", 7).status == 200);
    let work = Duration::from_millis(500);
    site.upstreams[0].set_work(work);
    site.upstreams[0].fail(1);
    thread::scope(|scope| {
        let get = |delay: Duration, daemon: usize, path: &'static str, id: &'static str| {
            let site = &site;
            scope.spawn(move || {
                thread::sleep(delay);
                site.get(daemon, path, id, 7).status
            })
        };
        let parent = get(Duration::ZERO, 1, "/stock/crayfish", "x1");
        let calls = [
            get(work / 2, 0, "/files/customs", "x1.0"),
            get(work * 3 / 2, 0, "/files/customs", "x1.1"),
        ];
        assert_eq!(parent.join().unwrap(), 200);
        assert_eq!(calls.map(|call| call.join().unwrap()), [200, 200]);
    });
    let runs = site.upstreams[0].runs().into_iter().filter(|run| run.id == "x1").count();
    assert_eq!(runs, 2);
    let metrics = site.metrics(0);
    let counted = metrics
        .lines()
        .find(|line| line.starts_with("rattanarch_repeats") && line.contains("granted=\"call\""));
    assert!(counted.is_some_and(|line| line.ends_with(" 1")), "{counted:?}");
}

/// The log lines and the metrics of a failed request contain the reason.
#[test]
fn refusal_explained() {
    let site = Site::start(1, 0);
    site.upstreams[0].refuse(50);
    site.get(0, "/stock/crayfish", "d1", 5);
    wait_until("the lines are written", || {
        let log = site.daemons[0].log();
        let request_lines = || log.lines().filter(|line| line.contains("\"id\":\"d1\""));
        let admitted = |line: &str| line.contains("\"admitted\"") && line.contains("life i-");
        request_lines().any(admitted)
            && request_lines().any(|line| line.contains("upstream-refused"))
    });
    let metrics = site.metrics(0);
    assert!(metrics.contains("reason=\"upstream-refused\""), "{metrics}");
    assert!(metrics.contains("rattanarch_served_slices{} 4096"), "{metrics}");
}

/// A request that may have run is never reported as not run, even if its retry is refused. A failed response of an
/// upstream is delivered if the retry is refused.
#[test]
fn retry_refused() {
    let site = Site::start(1, 0);
    site.upstreams[0].omit_stamps(1);
    site.upstreams[0].refuse_after(1, 50);
    let response = site.get(0, "/stock/crayfish", "e1", 5);
    assert_eq!(response.status, 502, "{response:?}");
    site.upstreams[0].refuse(0);
    site.upstreams[0].fail(1);
    site.upstreams[0].refuse_after(1, 50);
    let response = site.get(0, "/stock/crayfish", "e2", 5);
    assert_eq!((response.status, response.stamped), (500, true), "{response:?}");
    assert_eq!(site.run_ids(), ["e1", "e2"]);
}
