//! Large responses over a narrow link.

mod mesh_support;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use mesh_support::Site;

/// Size of a download, which takes 0.24 s on a link of 8 Mbit/s, of which large responses get 85 %.
const DOWNLOAD_BYTES: usize = 200_000;

/// Time between the starts of two downloads, which offers twice the rate of the link.
const DOWNLOAD_INTERVAL: Duration = Duration::from_millis(120);

/// Target latency of the site's routes.
const TARGET_LATENCY: Duration = Duration::from_millis(500);

/// Downloads at twice the rate of the link: those that are admitted are complete and in time, the others are refused
/// before they run, with a time to retry after, and small responses do not wait for them.
#[test]
fn downloads_scheduled() {
    let site = Site::start(1, 1);
    site.upstreams[1].set_padding(DOWNLOAD_BYTES);
    let (downloads, small) = thread::scope(|scope| {
        let downloads: Vec<_> = (0..16)
            .map(|index| {
                thread::sleep(DOWNLOAD_INTERVAL);
                let site = &site;
                scope.spawn(move || {
                    let began = Instant::now();
                    let response = site.get(1, "/maps/fjord", &format!("m{index}"), 0);
                    (response, began.elapsed())
                })
            })
            .collect();
        let began = Instant::now();
        let small = site.get(0, "/stock/crayfish", "s", 7);
        assert_eq!(small.status, 200, "{small:?}");
        let small = began.elapsed();
        (downloads.into_iter().map(|d| d.join().unwrap()).collect::<Vec<_>>(), small)
    });
    let served: Vec<_> = downloads.iter().filter(|(response, _)| response.status == 200).collect();
    let refused = downloads.iter().filter(|(response, _)| response.status == 503);
    assert!(
        served.iter().all(|(response, _)| response.stamped && response.body.len() > DOWNLOAD_BYTES)
    );
    assert!(refused.clone().all(|(response, _)| response.retry_after.is_some()));
    assert_eq!(served.len() + refused.clone().count(), downloads.len());
    let late = served.iter().filter(|(_, elapsed)| *elapsed > TARGET_LATENCY).count();
    assert!(late <= 1, "{late} of {} late: {served:?}", served.len());
    assert!((5..=12).contains(&served.len()), "{} served", served.len());
    assert_eq!(site.upstreams[1].runs().len(), served.len());
    assert!(small < TARGET_LATENCY, "{small:?}");
}

/// Size of a download that fills more than half of the send window, and takes 0.059 s on the link.
const SMALL_DOWNLOAD_BYTES: usize = 50_000;

/// Downloads at the rate of the link hardly wait, since the scheduler leaves no gaps between them.
#[test]
fn link_kept_busy() {
    let site = Site::start(1, 1);
    site.upstreams[1].set_padding(SMALL_DOWNLOAD_BYTES);
    let downloads = thread::scope(|scope| {
        let downloads: Vec<_> = (0..40)
            .map(|index| {
                thread::sleep(DOWNLOAD_INTERVAL / 2);
                let site = &site;
                scope.spawn(move || {
                    let began = Instant::now();
                    let response = site.get(1, "/maps/fjord", &format!("m{index}"), 0);
                    (response.status, began.elapsed())
                })
            })
            .collect();
        downloads.into_iter().map(|d| d.join().unwrap()).collect::<Vec<_>>()
    });
    let mut times: Vec<_> = downloads
        .iter()
        .filter(|(status, _)| *status == 200)
        .map(|(_, elapsed)| *elapsed)
        .collect();
    times.sort();
    assert!(times.len() * 10 >= downloads.len() * 9, "{} served", times.len());
    assert!(times[times.len() / 2] < TARGET_LATENCY / 2, "{times:?}");
}

/// Responses that a daemon forwards to its callers count towards its link, so large ones of its own upstream are
/// queued behind them.
#[test]
fn forwarded_counted() {
    let site = Site::start(1, 1);
    site.upstreams[1].set_padding(SMALL_DOWNLOAD_BYTES * 4);
    let wait = || {
        let metrics = site.metrics(0);
        let line = metrics.lines().find(|line| line.starts_with("rattanarch_link_wait_ms"));
        let value = line.and_then(|line| line.split_whitespace().last()).unwrap();
        value.parse::<i64>().unwrap()
    };
    assert_eq!(wait(), 0);
    let downloads: Vec<_> = thread::scope(|scope| {
        let get = |index| site.get(0, "/maps/fjord", &format!("r{index}"), 0).status;
        let requests: Vec<_> = (0..2).map(|index| scope.spawn(move || get(index))).collect();
        requests.into_iter().map(|request| request.join().unwrap()).collect()
    });
    assert_eq!(downloads, [200, 200]);
    assert!(wait() > 0, "{}", wait());
}
