//! What daemons tell each other while downloads fill a link.

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

/// Rate of the link, in megabits a second, as in the daemons' settings.
const LINK: f64 = 8.0;

/// Bytes of a download: 0.2 s on the link.
const SIZE: usize = 200_000;

/// Time between two downloads: twice as many as the link bears.
const PAUSE: Duration = Duration::from_millis(100);

/// Longest delay of an answer of a few kilobytes to another daemon, such as changes of a configuration: the window of
/// large answers on the link (100 ms) and the packets of small ones, in time for a fifth peer within the bound.
const SMALL_DELAY: Duration = Duration::from_millis(500);

/// The same for 250 kB, which take 0.25 s alone: half of the link, and as much again for a process that is late.
const LARGE_DELAY: Duration = Duration::from_millis(1_000);

/// Routes of a large configuration: some 250 kB.
const ROUTES: usize = 1_400;

/// While downloads ask for twice what the link bears, each fetch of state ends within its bound.
#[test]
fn fetches_in_time() {
    let store = Store::start();
    store.configure_large(6, "/stock/", ROUTES);
    let mut site = Site::empty(store);
    site.add(FILES, "files-0", "centre-0");
    site.wait_members(FILES, 1);
    let link = ThrottledLink::new(LINK);
    let way = link.proxy_to(site.daemons[0].addresses.peers);
    site.add(FILES, "files-1", "centre-1");
    site.wait_members(FILES, 2);
    site.reach_at(FILES, "files-0", way);
    wait_until("they serve", || {
        (0..2).all(|index| site.ask(index, "/files/a", "f", 1).status == 200)
    });
    site.upstreams[0].set_padding(SIZE);
    site.upstreams[1].set_padding(SIZE);
    let fetch = |configuration: u64| {
        let began = Instant::now();
        let question = json!({ "configuration": configuration, "evacuated": 0, "records": {} });
        let answer =
            ureq::post(format!("http://{way}/rattanarch/state")).send(question.to_string());
        let text = answer.expect("an answer").body_mut().read_to_string().expect("a text");
        let snapshot: Value = serde_json::from_str(&text).expect("a snapshot");
        (began.elapsed(), snapshot["configuration"]["version"] == 6)
    };
    let site = &site;
    thread::scope(|scope| {
        let downloads: Vec<_> = (0..40)
            .map(|index| {
                scope.spawn(move || {
                    thread::sleep(PAUSE * index);
                    site.ask(1, "/maps/fjord", &format!("m{index}"), 0).status
                })
            })
            .collect();
        thread::sleep(PAUSE * 5);
        let (small, large): (Vec<_>, Vec<_>) = (0..3).map(|_| (fetch(6), fetch(0))).unzip();
        assert!(small.iter().all(|(took, _)| *took < SMALL_DELAY), "{small:?}");
        assert!(large.iter().all(|(took, _)| *took < LARGE_DELAY), "{large:?}");
        assert!(large.iter().any(|(_, whole)| *whole), "{large:?}");
        let statuses: Vec<u16> =
            downloads.into_iter().map(|d| d.join().expect("no panic")).collect();
        assert!(statuses.contains(&200), "{statuses:?}");
        let sent = site.upstreams[0].runs().len();
        assert!(sent > 0, "downloads went over the link");
    });
}
