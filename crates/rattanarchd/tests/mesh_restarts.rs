//! A daemon that is restarted beside an upstream that lives on.

mod mesh_support;

use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use mesh_support::Site;
use mesh_support::wait_until;
use rattanarch_adapter_standins::DESK;
use rattanarch_adapter_standins::send_raw_heartbeat;
use serde_json::json;

/// Time after the restart within which the grants of the earlier process end.
const GRANTS_END: Duration = Duration::from_secs(5);

/// Restarts the first daemon beside its upstream, which sends no heartbeats, while its data centre is evacuated.
fn restart_evacuated() -> Site {
    let mut site = Site::start(2, 0);
    site.upstreams[0].set_silent(true);
    site.daemons[0].kill();
    site.store.evacuate("centre-0");
    site.daemons[0].restart();
    let control = site.daemons[0].addresses.control;
    wait_until("the daemon listens", || TcpStream::connect(control).is_ok());
    site
}

/// Fails if both upstreams hold a key within [`GRANTS_END`].
fn assert_one_holder(site: &Site) {
    let end = Instant::now() + GRANTS_END;
    while Instant::now() < end {
        let [first, second] = [0, 1].map(|upstream: usize| site.upstreams[upstream].held());
        let meets = |range: &&(u16, u16, u64)| {
            second.iter().any(|other| other.0 <= range.1 && range.0 <= other.1)
        };
        let shared: Vec<_> = first.iter().filter(meets).collect();
        assert!(shared.is_empty(), "{} ranges are held twice, first {:?}", shared.len(), shared[0]);
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(
        site.upstreams[1].held_keys(),
        65_536,
        "the other upstream holds all keys in the end"
    );
}

/// Guards against two holders: the first heartbeat after the restart was sent before the upstream got its keys.
#[test]
fn late_heartbeat() {
    let site = restart_evacuated();
    let control = site.daemons[0].addresses.control;
    site.upstreams[0].send_delayed_heartbeat(control, 1, &[]);
    assert_one_holder(&site);
}

/// Guards against two holders: the first heartbeat after the restart is of a life that has ended.
#[test]
fn ended_life_first() {
    let site = restart_evacuated();
    let addresses = site.daemons[0].addresses;
    let ended = json!({
        "address": addresses.upstream, "info": { "service": DESK, "slots": 4 },
        "status": { "state": "ready", "sequence": 50 }, "born": 1_000,
    });
    send_raw_heartbeat(addresses.control, "i-desk-0-0", &ended.to_string());
    let held = site.upstreams[0].held();
    site.upstreams[0].send_delayed_heartbeat(addresses.control, 1_000, &held);
    assert_one_holder(&site);
}
