//! Requests through daemons on the platform.

mod mesh_support;

use std::thread;
use std::time::Duration;

use mesh_support::Site;
use mesh_support::wait_until;
use rattanarch_adapter_standins::FILES;

/// Any daemon serves any key, by the one upstream that holds it; the answer is the upstream's own.
#[test]
fn every_key_served() {
    let site = Site::start(3, 1);
    for (index, key) in (0..=u16::MAX).step_by(3_001).enumerate() {
        let id = format!("a{index}");
        let answer = site.ask(index % 4, "/stock/crayfish", &id, key);
        assert_eq!((answer.status, answer.stamped), (200, true), "{answer:?}");
        assert_eq!(answer.body, format!("answer to {id}"));
    }
    let runs: Vec<_> = site.upstreams.iter().flat_map(|upstream| upstream.runs()).collect();
    assert_eq!(runs.len(), 22, "each ran once");
    assert!(runs.iter().any(|run| run.caller == FILES), "the caller's own service is told");
}

/// Requests that must not repeat arrive whole and once; services without keys serve anywhere.
#[test]
fn bodies_and_files() {
    let site = Site::start(2, 2);
    let answer = site.send(2, "/hold/batch", "b1", 77, "twelve crates");
    assert_eq!((answer.status, answer.stamped), (200, true), "{answer:?}");
    let runs: Vec<_> = site.upstreams.iter().flat_map(|upstream| upstream.runs()).collect();
    assert_eq!((runs.len(), runs[0].body.as_slice()), (1, &b"twelve crates"[..]));
    assert_eq!(site.ask(0, "/files/customs", "b2", 0).status, 200);
    assert_eq!(site.ask(0, "/nowhere/", "b3", 0).status, 404);
}

/// An upstream that refuses a part of what it gets is asked again, within the budget; what it refused
/// has not run.
#[test]
fn refusal_repeated() {
    let site = Site::start(1, 0);
    site.upstreams[0].refuse(1);
    assert_eq!(site.ask(0, "/stock/crayfish", "c1", 5).status, 200);
    site.upstreams[0].refuse(50);
    let answer = site.send(0, "/hold/batch", "c2", 5, "one crate");
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.retry_after.is_some(), "it says when to come back");
    assert_eq!(site.run_ids(), ["c1"]);
}

/// What an instance of a service without keys refuses goes to another one, though callers set the key
/// on all their requests.
#[test]
fn refusal_elsewhere() {
    let site = Site::start(1, 2);
    for (daemon, refusing) in [(1, 1), (2, 2)] {
        site.wait_members(FILES, 2);
        wait_until("they are known", || site.ask(daemon, "/files/customs", "f0", 7).status == 200);
        site.upstreams[refusing].refuse(50);
        let answer = site.ask(daemon, "/files/customs", &format!("f{daemon}"), 7);
        assert_eq!((answer.status, answer.stamped), (200, true), "{answer:?}");
        site.upstreams[refusing].refuse(0);
    }
}

/// When every instance of a service without keys has refused, the caller is told why, not that there is
/// none.
#[test]
fn all_refuse() {
    let site = Site::start(1, 2);
    site.wait_members(FILES, 2);
    wait_until("they are known", || site.ask(0, "/files/customs", "u0", 7).status == 200);
    site.upstreams[1].refuse(50);
    site.upstreams[2].refuse(50);
    let answer = site.ask(0, "/files/customs", "u1", 7);
    assert_eq!((answer.status, answer.body.as_str()), (503, "upstream-refused"), "{answer:?}");
}

/// A call that an upstream makes for a request that it runs goes before callers' requests: turned away,
/// it would fail a request that holds a slot already.
#[test]
fn calls_first() {
    let site = Site::start(1, 1);
    wait_until("the instance is known", || site.ask(0, "/files/customs", "v0", 7).status == 200);
    // Longer than all of them take to come, so that slots become free one after the other.
    site.upstreams[0].set_work(Duration::from_millis(600));
    site.upstreams[1].set_work(Duration::from_millis(1_500));
    thread::scope(|scope| {
        let ask = |daemon: usize, path: &'static str, id: String| {
            scope.spawn({
                let site = &site;
                move || site.ask(daemon, path, &id, 7).status
            });
            thread::sleep(Duration::from_millis(60));
        };
        ask(1, "/files/customs", "v1".to_owned());
        // Four run at once, the others wait.
        for number in 0..7 {
            ask(0, "/stock/crayfish", format!("w{number}"));
        }
        ask(1, "/stock/crayfish", "v1.1".to_owned());
    });
    let ids: Vec<_> = site.upstreams[0].runs().into_iter().map(|run| run.id).collect();
    assert_eq!(ids.iter().position(|id| id == "v1.1"), Some(4), "{ids:?}");
}

/// A call for a run that is itself a repeat counts as one, though another daemon repeated it; one for a
/// first run does not.
#[test]
fn calls_counted() {
    let site = Site::start(1, 1);
    wait_until("the instance is known", || site.ask(0, "/files/customs", "x0", 7).status == 200);
    let work = Duration::from_millis(500);
    site.upstreams[0].set_work(work);
    site.upstreams[0].fail(1);
    thread::scope(|scope| {
        let ask = |after: Duration, daemon: usize, path: &'static str, id: &'static str| {
            let site = &site;
            scope.spawn(move || {
                thread::sleep(after);
                site.ask(daemon, path, id, 7).status
            })
        };
        let parent = ask(Duration::ZERO, 1, "/stock/crayfish", "x1");
        let calls = [
            ask(work / 2, 0, "/files/customs", "x1.0"),
            ask(work * 3 / 2, 0, "/files/customs", "x1.1"),
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

/// A failed request's lines and counters tell why.
#[test]
fn refusal_explained() {
    let site = Site::start(1, 0);
    site.upstreams[0].refuse(50);
    site.ask(0, "/stock/crayfish", "d1", 5);
    wait_until("the lines are written", || {
        let log = site.daemons[0].log();
        let of_request = || log.lines().filter(|line| line.contains("\"id\":\"d1\""));
        let admitted = |line: &str| line.contains("\"admitted\"") && line.contains("life i-");
        of_request().any(admitted) && of_request().any(|line| line.contains("upstream-refused"))
    });
    let metrics = site.metrics(0);
    assert!(metrics.contains("reason=\"upstream-refused\""), "{metrics}");
    assert!(metrics.contains("rattanarch_served_slices{} 4096"), "{metrics}");
}

/// A request that may have run is never said not to have run, whatever became of its repeat; and an
/// answer that an upstream has given is delivered when its repeat is refused.
#[test]
fn true_refusals() {
    let site = Site::start(1, 0);
    site.upstreams[0].omit_stamps(1);
    site.upstreams[0].refuse_after(1, 50);
    let answer = site.ask(0, "/stock/crayfish", "e1", 5);
    assert_eq!(answer.status, 502, "{answer:?}");
    site.upstreams[0].refuse(0);
    site.upstreams[0].fail(1);
    site.upstreams[0].refuse_after(1, 50);
    let answer = site.ask(0, "/stock/crayfish", "e2", 5);
    assert_eq!((answer.status, answer.stamped), (500, true), "{answer:?}");
    assert_eq!(site.run_ids(), ["e1", "e2"]);
}
