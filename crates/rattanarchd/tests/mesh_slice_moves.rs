//! Requests for keys that move, and what daemons tell each other about it.

mod mesh_support;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use mesh_support::Site;
use rattanarch_adapter_standins::DESK;

/// Response to a forwarded request.
#[derive(Debug)]
struct Forwarded {
    status: u16,
    /// Why it was refused.
    reason: String,
    /// Load of the upstream, as items separated by spaces.
    load: Vec<u32>,
    took: Duration,
}

/// Sends a request for `key` to a daemon, as another daemon does that chose it by the record `version`.
fn forward(site: &Site, daemon: usize, key: u16, version: u64) -> Forwarded {
    let url = format!("http://{}/stock/crayfish", site.daemons[daemon].addresses.peers);
    let request = ureq::get(url).config().http_status_as_error(false).build();
    let header = format!("{DESK} {DESK} 1 500 2000 safe {key} small first - {version}");
    let began = Instant::now();
    let request = request.header("rattanarch-forward", header).header("x-attempt-id", "f");
    let response = request.header("x-shard-key", key.to_string()).call().expect("daemon responds");
    let took = began.elapsed();
    let text = |name: &str| {
        let value = response.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    Forwarded {
        status: response.status().as_u16(),
        reason: text("rattanarch-reason"),
        load: text("rattanarch-load").split(' ').filter_map(|item| item.parse().ok()).collect(),
        took,
    }
}

fn version(site: &Site) -> u64 {
    let record = site.store.record(DESK).expect("the service has a record");
    record["version"].as_u64().expect("version is a number")
}

/// A key that `daemon` does not serve by the record that it knows.
fn foreign_key(site: &Site, daemon: usize, version: u64) -> u16 {
    let keys = (0..=u16::MAX).step_by(1_024);
    let mut foreign = keys.filter(|key| forward(site, daemon, *key, version).reason == "not-owner");
    foreign.next().expect("the other member owns keys")
}

/// Guards against receivers chosen regardless of their heartbeats: without the time of the next one, the owner of a slice
/// cannot know how long it will be unserved.
#[test]
fn next_heartbeat_told() {
    let mut site = Site::start(2, 0);
    let interval = Duration::from_millis(900);
    site.set_heartbeat_interval(interval);
    let known = version(&site);
    let times: Vec<u128> = (0..8)
        .map(|_| {
            thread::sleep(interval / 7);
            u128::from(forward(&site, 0, 5, known).load[9])
        })
        .collect();
    assert!(times.iter().all(|time| (1..=interval.as_millis()).contains(time)), "{times:?}");
    let (least, most) = (times.iter().min(), times.iter().max());
    assert!(least.zip(most).is_some_and(|(least, most)| most - least > 300), "{times:?}");
}

/// Guards against `not-owner` refusals by a next owner that does not know the record yet by which it was chosen: the
/// sender would wait for an even newer record, which does not exist.
#[test]
fn newer_record_awaited() {
    let site = Site::start_cost_based(2);
    let known = version(&site);
    let key = foreign_key(&site, 0, known);
    let refused = forward(&site, 0, key, known);
    assert!(refused.took < Duration::from_millis(100), "refused at once: {refused:?}");
    let held = forward(&site, 0, key, known + 1);
    assert_eq!((held.status, held.reason.as_str()), (503, "not-owner"), "{held:?}");
    let times = Duration::from_millis(100)..Duration::from_millis(1_000);
    assert!(times.contains(&held.took), "held until the record may be there: {held:?}");
}

/// Guards against refusals of requests that would be served in time: while keys move, requests with seconds left are held
/// by the old owner until the record names the next one, and there until its upstream's heartbeat.
#[test]
fn held_while_moving() {
    let site = Site::start_cost_based(3);
    let key = (0..=u16::MAX).step_by(1_024).find(|key| forward(&site, 0, *key, 0).status == 200);
    let key = key.expect("the first member owns keys");
    thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(Duration::from_millis(300));
            site.store.evacuate("centre-0");
        });
        let began = Instant::now();
        for number in 0.. {
            let response = site.get(1, "/stock/crayfish", &format!("m{number}"), key);
            assert_eq!(response.status, 200, "after {:?}: {response:?}", began.elapsed());
            if began.elapsed() > Duration::from_secs(3) {
                break;
            }
            thread::sleep(Duration::from_millis(10));
        }
    });
    assert_eq!(site.owned_slices(DESK, "desk-0"), 0, "the keys have moved");
}
