//! Upstreams that say in their responses that they are leaving, while their heartbeats say nothing yet.

mod mesh_support;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use mesh_support::Site;
use mesh_support::wait_until;
use rattanarch_adapter_standins::FILES;
use rattanarch_adapter_standins::Notices;
use rattanarch_adapter_standins::Upstream;

/// Time for which a leaving upstream still takes requests, by the settings of the daemons.
const DRAIN: Duration = Duration::from_secs(2);

fn leave(upstream: &Upstream) {
    upstream.set_notices(Notices { leaving: true, ..Notices::default() });
}

/// Ids of requests that reached `upstream` after `from`.
fn arrivals_after(upstream: &Upstream, from: Instant) -> Vec<String> {
    let late = upstream.arrivals().into_iter().filter(|arrival| arrival.at > from);
    late.map(|arrival| arrival.id).collect()
}

/// Sends a request every 50 ms for `duration`; returns how many were answered with 200 in the last second.
fn send_steadily(
    site: &Site,
    path: &str,
    (daemon, id): (usize, &str),
    duration: Duration,
) -> usize {
    let began = Instant::now();
    let mut served = 0;
    for index in 0.. {
        if began.elapsed() > duration {
            break;
        }
        let key = (index % 64) as u16 * 1_024;
        let response = site.get(daemon, path, &format!("{id}{index}"), key);
        let late = began.elapsed() + Duration::from_secs(1) > duration;
        served += usize::from(late && response.status == 200);
        thread::sleep(Duration::from_millis(50));
    }
    served
}

/// An instance without keys that says it leaves gets nothing more, from its own daemon and from others.
#[test]
fn leaving_instance_used() {
    let site = Site::start(1, 2);
    site.wait_members(FILES, 2);
    leave(&site.upstreams[1]);
    wait_until("it has said so", || {
        site.get(0, "/files/a", "first", 1);
        !site.upstreams[1].arrivals().is_empty()
    });
    let told = Instant::now();
    for daemon in [0, 1, 2] {
        let served = send_steadily(&site, "/files/a", (daemon, &format!("d{daemon}-")), DRAIN);
        assert!(served > 10, "{served} served through daemon {daemon}");
    }
    let late = arrivals_after(&site.upstreams[1], told + DRAIN);
    assert!(late.is_empty(), "{late:?} arrived after the bound");
}

/// The keys of an owner that says it leaves are served by another one in time.
#[test]
fn leaving_owner_used() {
    let site = Site::start(2, 0);
    leave(&site.upstreams[0]);
    wait_until("it has said so", || {
        (0..64).for_each(|key| drop(site.get(1, "/stock/a", "first", key * 1_024)));
        !site.upstreams[0].arrivals().is_empty()
    });
    let told = Instant::now();
    let served = send_steadily(&site, "/stock/a", (1, "k"), DRAIN * 3);
    assert!(served > 10, "{served} served in the last second");
    let late = arrivals_after(&site.upstreams[0], told + DRAIN);
    assert!(late.is_empty(), "{late:?} arrived after the bound");
}

/// A daemon that has passed on such a response is bound by it also after the daemon beside the upstream was restarted and
/// knows nothing of it.
#[test]
fn leaving_forgotten() {
    let mut site = Site::start(1, 1);
    site.upstreams[1].set_notices(Notices {
        leaving: true,
        silent_health: true,
        ..Notices::default()
    });
    wait_until("it has said so", || {
        site.get(0, "/files/a", "first", 1);
        !site.upstreams[1].arrivals().is_empty()
    });
    let told = Instant::now();
    site.daemons[1].kill();
    site.daemons[1].restart();
    // The upstream says so no more, so that only the other daemon can know of it.
    site.upstreams[1].set_notices(Notices::default());
    wait_until("the daemon is ready", || site.is_ready(site.daemons[1].addresses.ready));
    thread::sleep((told + DRAIN).saturating_duration_since(Instant::now()));
    send_steadily(&site, "/files/a", (0, "late"), Duration::from_secs(3));
    let late = arrivals_after(&site.upstreams[1], told + DRAIN);
    assert!(late.is_empty(), "{late:?} arrived after the bound");
}
