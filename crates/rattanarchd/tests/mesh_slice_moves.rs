//! Requests for keys that move, and what daemons tell each other about it.

mod mesh_support;

use std::thread;
use std::time::Duration;

use mesh_support::Site;
use rattanarch_adapter_standins::DESK;

/// Response to a forwarded request.
#[derive(Debug)]
struct Forwarded {
    /// Load of the upstream, as items separated by spaces.
    load: Vec<u32>,
}

/// Sends a request for `key` to a daemon, as another daemon does that chose it by the record `version`.
fn forward(site: &Site, daemon: usize, key: u16, version: u64) -> Forwarded {
    let url = format!("http://{}/stock/crayfish", site.daemons[daemon].addresses.peers);
    let request = ureq::get(url).config().http_status_as_error(false).build();
    let header = format!("{DESK} {DESK} 1 500 2000 safe {key} small first - {version}");
    let request = request.header("rattanarch-forward", header).header("x-attempt-id", "f");
    let response = request.header("x-shard-key", key.to_string()).call().expect("daemon responds");
    let text = |name: &str| {
        let value = response.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    Forwarded {
        load: text("rattanarch-load").split(' ').filter_map(|item| item.parse().ok()).collect(),
    }
}

fn version(site: &Site) -> u64 {
    let record = site.store.record(DESK).expect("the service has a record");
    record["version"].as_u64().expect("version is a number")
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
