//! Planned stops and departures on the platform.

mod mesh_support;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use mesh_support::Daemon;
use mesh_support::Site;
use mesh_support::wait_until;
use rattanarch_adapter_standins::Upstream;

/// A daemon that is asked to stop says so at once, and gives every request that it has read its answer,
/// also while others keep it busy.
#[test]
fn answers_before_end() {
    let mut site = Site::start(2, 0);
    for upstream in &site.upstreams {
        upstream.set_work(Duration::from_millis(300));
    }
    site.daemons[0].stop();
    let ready = site.daemons[0].addresses.ready;
    wait_until("it is not ready", || !site.is_ready(ready));
    let failures: Vec<_> = thread::scope(|scope| {
        let site = &site;
        let callers = (0..12).map(|caller| {
            scope.spawn(move || {
                let mut failures = Vec::new();
                let end = Instant::now() + Duration::from_millis(6_500);
                for step in 0_u16.. {
                    if Instant::now() >= end {
                        break;
                    }
                    // Through the other daemon, as peers do that have not heard of the stop.
                    let id = format!("{caller}-{step}");
                    let answer = site.ask(1, "/stock/crayfish", &id, step.wrapping_mul(4_099));
                    let refused = answer.status == 503 && answer.retry_after.is_some();
                    if !(answer.status == 200 && answer.stamped || refused) {
                        failures.push(answer);
                    }
                }
                failures
            })
        });
        callers.collect::<Vec<_>>().into_iter().flat_map(|c| c.join().unwrap()).collect()
    });
    assert!(failures.is_empty(), "{failures:?}");
    let status = site.daemons[0].wait(Duration::from_secs(4)).expect("it ends within its grace");
    assert!(status.success());
    let log = site.daemons[0].log();
    assert!(log.contains("\"stopped\""), "its last line is lost");
}

/// A request that comes long after the daemon was asked to stop, and may last beyond its end, is refused
/// while it can still go elsewhere. Before that, callers may not have heard of the stop.
#[test]
fn refused_near_end() {
    let site = Site::start(2, 0);
    site.store.configure_timeout(6, "4s");
    wait_until("the longer time is in force", || site.daemons[0].log().contains("\"version\":6"));
    site.upstreams[1].set_work(Duration::from_millis(1_500));
    let key = site.upstreams[1].held()[0].0;
    let stop = Instant::now();
    site.daemons[0].stop();
    let ask = |after: u64, id: &str| {
        thread::sleep(Duration::from_millis(after).saturating_sub(stop.elapsed()));
        site.ask(0, "/stock/crayfish", id, key)
    };
    let (early, late) = thread::scope(|scope| {
        // It is under way while the other comes, so that the daemon is still there.
        let early = scope.spawn(|| ask(1_800, "early"));
        let late = ask(2_800, "late");
        (early.join().unwrap(), late)
    });
    assert_eq!(early.status, 200, "{early:?}");
    assert_eq!(late.status, 503, "{late:?}");
    assert!(site.upstreams[1].runs().iter().all(|run| run.id != "late"));
}

/// A daemon that restarts beside a living upstream goes on where it was: keys stay where they are, under
/// their fences.
#[test]
fn restart_keeps_keys() {
    let mut site = Site::start(2, 0);
    let before = site.upstreams[0].held();
    site.daemons[0].kill();
    site.daemons[0].restart();
    let ready = site.daemons[0].addresses.ready;
    wait_until("it is ready again", || site.is_ready(ready));
    site.wait_served();
    thread::sleep(Duration::from_secs(1));
    assert_eq!(site.upstreams[0].held(), before);
}

/// After a loss of all daemons the first answer to a living upstream grants its keys: it waits for the lease,
/// which comes before an answer has to. Only one whose single witness is the last to join may be told later.
#[test]
fn first_answer_grants() {
    let mut site = Site::start(3, 0);
    let bare = |site: &Site| -> u32 { site.upstreams.iter().map(Upstream::empty_replies).sum() };
    site.daemons.iter_mut().for_each(Daemon::kill);
    let before = bare(&site);
    for daemon in &mut site.daemons {
        daemon.expect_heartbeat("1200ms");
        daemon.restart();
    }
    for daemon in &site.daemons {
        wait_until("it holds its lease", || daemon.log().matches("lease acquired").count() > 1);
    }
    site.wait_served();
    let bare = bare(&site) - before;
    assert!(bare <= 1, "{bare} answers without grants to 3 upstreams");
}

/// An upstream that leaves gets nothing two seconds later, and its keys are served elsewhere.
#[test]
fn drained_upstream() {
    let site = Site::start(3, 0);
    site.upstreams[0].drain();
    wait_until("its keys are with others", || {
        site.upstreams[0].held_keys() == 0 && site.held_keys() == 65_536
    });
    let ran = site.upstreams[0].runs().len();
    for key in (0..=u16::MAX).step_by(4_001) {
        let answer = site.ask(0, "/stock/crayfish", &format!("k{key}"), key);
        assert_eq!(answer.status, 200, "{key}: {answer:?}");
    }
    assert_eq!(site.upstreams[0].runs().len(), ran);
}
