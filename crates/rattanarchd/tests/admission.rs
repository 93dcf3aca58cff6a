//! Limits of requests at the upstream by slots, priority, deadline and cold start.

mod support;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use rattanarch_types::KeySource;
use rattanarch_types::Priority;
use rattanarch_types::Route;
use rattanarchd::request::RequestSettings;
use support::FakeUpstream;
use support::Reply;
use support::TestDaemon;
use support::send_request;

const WORK_TIME: Duration = Duration::from_millis(10);
const LONG: Duration = Duration::from_secs(30);
const SLOTS: u16 = 4;

async fn start_slow() -> FakeUpstream {
    FakeUpstream::start(|_, _| Reply::RespondAfter(WORK_TIME, 200, Vec::new())).await
}

fn start_daemon(upstream: &FakeUpstream, slots: u16, timeout: Duration) -> TestDaemon {
    TestDaemon::start_with_settings(
        RequestSettings::default().with_slots(slots),
        upstream.address,
        timeout,
    )
}

#[tokio::test]
async fn slot_limit() {
    let upstream = start_slow().await;
    let daemon = start_daemon(&upstream, SLOTS, LONG);
    for _ in 0..20 {
        join_all((0..8).map(|_| send_request(daemon.address, "GET", "/trade-desk/stock/a"))).await;
    }
    assert_eq!(upstream.peak_concurrency(), usize::from(SLOTS));
}

#[tokio::test]
async fn mixed_priority() {
    const WORK_TIME: Duration = Duration::from_millis(200);
    let upstream =
        FakeUpstream::start(|_, _| Reply::RespondAfter(WORK_TIME, 200, Vec::new())).await;
    let daemon = start_daemon(&upstream, 1, LONG);
    daemon.update_view(|view| {
        let mut service = rattanarch_types::Service::clone(view.service.as_ref().unwrap());
        let route = |prefix: &str, priority| {
            let route = Route::default().with_prefix(prefix).with_key(KeySource::Segment(1));
            route.with_priority(priority).with_timeout(LONG)
        };
        let reserve = route("/reserve", Priority::Deferrable);
        service.routes = vec![reserve, route("/stock", Priority::Urgent)];
        view.service = Some(Arc::new(service));
    });
    let reserve = send_request(daemon.address, "POST", "/trade-desk/reserve/a");
    let later = async {
        tokio::time::sleep(WORK_TIME / 5).await;
        send_request(daemon.address, "POST", "/trade-desk/reserve/a").await
    };
    let urgent = async {
        tokio::time::sleep(WORK_TIME / 5 * 2).await;
        send_request(daemon.address, "GET", "/trade-desk/stock/a").await
    };
    tokio::join!(reserve, later, urgent);
    let order: Vec<_> = upstream.requests().into_iter().map(|r| r.path).collect();
    assert_eq!(order, ["/reserve/a", "/stock/a", "/reserve/a"]);
}

/// Repeats `burst` until this process stalls for at most `max_stall` during a run.
///
/// The process contains callers, daemon and upstream, so a longer stall makes requests late even if
/// the admission controller decided correctly.
async fn run_unstalled<T, F: Future<Output = T>>(max_stall: Duration, burst: impl Fn() -> F) -> T {
    const TICK: Duration = Duration::from_millis(2);
    const MAX_ATTEMPTS: u32 = 10;
    for _ in 0..MAX_ATTEMPTS {
        let longest = Arc::new(Mutex::new(Duration::ZERO));
        let seen = Arc::clone(&longest);
        let ticks = tokio::spawn(async move {
            loop {
                let began = Instant::now();
                tokio::time::sleep(TICK).await;
                let mut seen = seen.lock().expect("the lock is not poisoned");
                *seen = began.elapsed().max(*seen);
            }
        });
        let result = burst().await;
        // Waits for a tick that a stall delayed.
        tokio::time::sleep(TICK * 2).await;
        ticks.abort();
        let longest = *longest.lock().expect("the lock is not poisoned");
        if longest <= max_stall {
            return result;
        }
        eprintln!("stalled for {longest:?}; running again");
    }
    panic!("stalled for longer than {max_stall:?} in each of {MAX_ATTEMPTS} runs");
}

#[tokio::test]
async fn shed_early() {
    const WORK_TIME: Duration = Duration::from_millis(40);
    const SLOTS: u16 = 8;
    let upstream =
        FakeUpstream::start(|_, _| Reply::RespondAfter(WORK_TIME, 200, Vec::new())).await;
    // The timeout allows two rounds of work, but not three.
    let daemon = start_daemon(&upstream, SLOTS, WORK_TIME * 5 / 2);
    for _ in 0..30 {
        join_all((0..2).map(|_| send_request(daemon.address, "GET", "/trade-desk/stock/a"))).await;
    }
    // One round runs and two are queued, of which the second would exceed the timeout.
    let burst = usize::from(SLOTS) * 3;
    let send_all =
        || join_all((0..burst).map(|_| send_request(daemon.address, "GET", "/trade-desk/stock/a")));
    let all = run_unstalled(WORK_TIME / 2, send_all).await;
    let shed: Vec<_> = all.iter().filter(|response| response.status == 503).collect();
    assert!(shed.iter().all(|response| response.verdict() == "not-run"));
    assert!(shed.iter().all(|response| response.header("rattanarch-retry-ms").is_some()));
    let late = all.iter().filter(|response| response.status == 504).count();
    assert!(late <= 3, "{late} of {burst} were late, {} were shed", shed.len());
    assert!(shed.len() >= 5, "{} of {burst} were shed", shed.len());
}

#[tokio::test]
async fn cold_start() {
    const COLD_LIMIT: usize = 2;
    const WARM_AFTER: usize = 50;
    const SLOTS: u16 = 20;
    // The upstream refuses everything once it refused four times as many requests as it has slots.
    let refused = Arc::new(AtomicUsize::new(0));
    let accepted = Arc::new(Mutex::new(0));
    let counted = Arc::clone(&refused);
    let upstream = FakeUpstream::start(move |request, _| {
        let mut accepted = accepted.lock().unwrap();
        let overloaded = counted.load(Ordering::SeqCst) > 4 * usize::from(SLOTS);
        if overloaded || (*accepted < WARM_AFTER && request.concurrent > COLD_LIMIT) {
            counted.fetch_add(1, Ordering::SeqCst);
            return Reply::Refuse(503);
        }
        *accepted += 1;
        Reply::RespondAfter(WORK_TIME / 2, 200, Vec::new())
    })
    .await;
    let daemon = start_daemon(&upstream, SLOTS, LONG);
    let callers = (0..40).map(|_| async {
        let mut completed = 0;
        for _ in 0..40 {
            completed += usize::from(
                send_request(daemon.address, "GET", "/trade-desk/stock/a").await.status == 200,
            );
        }
        completed
    });
    let completed: usize = join_all(callers).await.into_iter().sum();
    let refused = refused.load(Ordering::SeqCst);
    assert!(refused <= usize::from(SLOTS), "{refused} were refused");
    assert!(completed >= 800, "{completed} were completed");
    assert!(upstream.peak_concurrency() > COLD_LIMIT * 2);
}
