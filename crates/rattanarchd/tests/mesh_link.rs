//! Large answers over a narrow link.

mod mesh_support;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use mesh_support::Site;

/// Bytes of a download: with 8 Mbit/s, of which large answers get 85 %, 0.24 s on the link.
const SIZE: usize = 200_000;

/// Time between two downloads: twice as many as the link bears.
const PAUSE: Duration = Duration::from_millis(120);

/// Time in which the routes of the site are to be answered.
const AIM: Duration = Duration::from_millis(500);

/// Downloads at twice the rate that the link bears: those that are taken are whole and in time, the others
/// are refused before they run, with a time to come back, and small answers pass them.
#[test]
fn downloads_in_turn() {
    let site = Site::start(1, 1);
    site.upstreams[1].set_padding(SIZE);
    let (downloads, small) = thread::scope(|scope| {
        let downloads: Vec<_> = (0..16)
            .map(|index| {
                thread::sleep(PAUSE);
                let site = &site;
                scope.spawn(move || {
                    let began = Instant::now();
                    let answer = site.ask(1, "/maps/fjord", &format!("m{index}"), 0);
                    (answer, began.elapsed())
                })
            })
            .collect();
        let began = Instant::now();
        let small = site.ask(0, "/stock/crayfish", "s", 7);
        assert_eq!(small.status, 200, "{small:?}");
        let small = began.elapsed();
        (downloads.into_iter().map(|d| d.join().unwrap()).collect::<Vec<_>>(), small)
    });
    let served: Vec<_> = downloads.iter().filter(|(answer, _)| answer.status == 200).collect();
    let refused = downloads.iter().filter(|(answer, _)| answer.status == 503);
    assert!(served.iter().all(|(answer, _)| answer.stamped && answer.body.len() > SIZE));
    assert!(refused.clone().all(|(answer, _)| answer.retry_after.is_some()));
    assert_eq!(served.len() + refused.clone().count(), downloads.len());
    let late = served.iter().filter(|(_, took)| *took > AIM).count();
    assert!(late <= 1, "{late} of {} late: {served:?}", served.len());
    assert!((5..=12).contains(&served.len()), "{} served", served.len());
    assert_eq!(site.upstreams[1].runs().len(), served.len());
    assert!(small < AIM, "{small:?}");
}

/// Bytes of a download that fills more than half of what may be in flight at once: 0.059 s on the link.
const PART: usize = 50_000;

/// Downloads at the rate that the link bears hardly wait: their turns leave no gaps.
#[test]
fn link_kept_busy() {
    let site = Site::start(1, 1);
    site.upstreams[1].set_padding(PART);
    let downloads = thread::scope(|scope| {
        let downloads: Vec<_> = (0..40)
            .map(|index| {
                thread::sleep(PAUSE / 2);
                let site = &site;
                scope.spawn(move || {
                    let began = Instant::now();
                    let answer = site.ask(1, "/maps/fjord", &format!("m{index}"), 0);
                    (answer.status, began.elapsed())
                })
            })
            .collect();
        downloads.into_iter().map(|d| d.join().unwrap()).collect::<Vec<_>>()
    });
    let mut times: Vec<_> =
        downloads.iter().filter(|(status, _)| *status == 200).map(|(_, took)| *took).collect();
    times.sort();
    assert!(times.len() * 10 >= downloads.len() * 9, "{} served", times.len());
    assert!(times[times.len() / 2] < AIM / 2, "{times:?}");
}

/// Answers that a daemon passes on to its callers count on its link too: large ones of its upstream leave behind them.
#[test]
fn relayed_counted() {
    let site = Site::start(1, 1);
    site.upstreams[1].set_padding(PART * 4);
    let wait = || {
        let metrics = site.metrics(0);
        let line = metrics.lines().find(|line| line.starts_with("rattanarch_link_wait_ms"));
        let value = line.and_then(|line| line.split_whitespace().last()).unwrap();
        value.parse::<i64>().unwrap()
    };
    assert_eq!(wait(), 0);
    let downloads: Vec<_> = thread::scope(|scope| {
        let ask = |index| site.ask(0, "/maps/fjord", &format!("r{index}"), 0).status;
        let asked: Vec<_> = (0..2).map(|index| scope.spawn(move || ask(index))).collect();
        asked.into_iter().map(|asked| asked.join().unwrap()).collect()
    });
    assert_eq!(downloads, [200, 200]);
    assert!(wait() > 0, "{}", wait());
}
