//! Fetches of state between daemons while downloads fill the link.

mod mesh_support;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use mesh_support::Site;
use mesh_support::wait_until;
use rattanarch_adapter_standins::FILES;
use rattanarch_adapter_standins::Store;
use rattanarch_adapter_standins::ThrottledLink;
use serde_json::Value;
use serde_json::json;

/// Rate of the link in megabits per second, as in the daemons' settings.
const LINK_MEGABITS: f64 = 8.0;

/// Size of a download, which takes 0.2 s on the link.
const DOWNLOAD_BYTES: usize = 200_000;

/// Time between the starts of two downloads, which offers twice the rate of the link.
const DOWNLOAD_INTERVAL: Duration = Duration::from_millis(100);

/// Bound for the fetch of a few kilobytes from another daemon, such as changes of a configuration: the send window of
/// large responses on the link (100 ms) and the packets of small ones. Five fetches in sequence, each from another
/// peer, then still end within the bound for applying a configuration.
const SMALL_FETCH_BOUND: Duration = Duration::from_millis(500);

/// Bound for the fetch of 250 kB, which take 0.25 s on an idle link: twice that as half of the link is in use, and as
/// much again for a process that is scheduled late.
const LARGE_FETCH_BOUND: Duration = Duration::from_millis(1_000);

/// Additional routes of a large configuration, which has about 250 kB.
const ROUTES: usize = 1_400;

/// Downloads at twice the rate of the link must not delay fetches of state: each ends within its bound.
#[test]
fn fetches_in_time() {
    let store = Store::start();
    store.configure_large(6, "/stock/", ROUTES);
    let mut site = Site::empty(store);
    site.add(FILES, "files-0", "centre-0");
    site.wait_members(FILES, 1);
    let link = ThrottledLink::new(LINK_MEGABITS);
    let proxy = link.proxy_to(site.daemons[0].addresses.peers);
    site.add(FILES, "files-1", "centre-1");
    site.wait_members(FILES, 2);
    site.set_peer_address(FILES, "files-0", proxy);
    wait_until("both daemons serve", || {
        (0..2).all(|index| site.get(index, "/files/a", "f", 1).status == 200)
    });
    site.upstreams[0].set_padding(DOWNLOAD_BYTES);
    site.upstreams[1].set_padding(DOWNLOAD_BYTES);
    let fetch = |configuration: u64| {
        let began = Instant::now();
        let request = json!({ "configuration": configuration, "evacuated": 0, "records": {} });
        let response =
            ureq::post(format!("http://{proxy}/rattanarch/state")).send(request.to_string());
        let text = response
            .expect("daemon responds")
            .body_mut()
            .read_to_string()
            .expect("response is text");
        let snapshot: Value = serde_json::from_str(&text).expect("response is JSON");
        (began.elapsed(), snapshot["configuration"]["version"] == 6)
    };
    let site = &site;
    thread::scope(|scope| {
        let downloads: Vec<_> = (0..40)
            .map(|index| {
                scope.spawn(move || {
                    thread::sleep(DOWNLOAD_INTERVAL * index);
                    site.get(1, "/maps/fjord", &format!("m{index}"), 0).status
                })
            })
            .collect();
        thread::sleep(DOWNLOAD_INTERVAL * 5);
        let (small, large): (Vec<_>, Vec<_>) = (0..3).map(|_| (fetch(6), fetch(0))).unzip();
        assert!(small.iter().all(|(elapsed, _)| *elapsed < SMALL_FETCH_BOUND), "{small:?}");
        assert!(large.iter().all(|(elapsed, _)| *elapsed < LARGE_FETCH_BOUND), "{large:?}");
        assert!(large.iter().any(|(_, whole)| *whole), "{large:?}");
        let statuses: Vec<u16> =
            downloads.into_iter().map(|d| d.join().expect("download doesn't panic")).collect();
        assert!(statuses.contains(&200), "{statuses:?}");
        let sent = site.upstreams[0].runs().len();
        assert!(sent > 0, "no download went over the link");
    });
}
