//! The upstream gets what it bears: by slots, priority, deadline and warmth.

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
use support::Rig;
use support::ask;

const WORK: Duration = Duration::from_millis(10);
const LONG: Duration = Duration::from_secs(30);
const SLOTS: u16 = 4;

async fn slow() -> FakeUpstream {
    FakeUpstream::start(|_, _| Reply::Late(WORK, 200, Vec::new())).await
}

fn rig(upstream: &FakeUpstream, slots: u16, timeout: Duration) -> Rig {
    Rig::with(RequestSettings::default().with_slots(slots), upstream.address, timeout)
}

#[tokio::test]
async fn slots_bound() {
    let upstream = slow().await;
    let rig = rig(&upstream, SLOTS, LONG);
    for _ in 0..20 {
        join_all((0..8).map(|_| ask(rig.address, "GET", "/trade-desk/stock/a"))).await;
    }
    assert_eq!(upstream.peak(), usize::from(SLOTS));
}

#[tokio::test]
async fn mixed_priority() {
    const WORK: Duration = Duration::from_millis(200);
    let upstream = FakeUpstream::start(|_, _| Reply::Late(WORK, 200, Vec::new())).await;
    let rig = rig(&upstream, 1, LONG);
    rig.change(|view| {
        let mut service = rattanarch_types::Service::clone(view.service.as_ref().unwrap());
        let route = |prefix: &str, priority| {
            let route = Route::default().with_prefix(prefix).with_key(KeySource::Segment(1));
            route.with_priority(priority).with_timeout(LONG)
        };
        let reserve = route("/reserve", Priority::Deferrable);
        service.routes = vec![reserve, route("/stock", Priority::Urgent)];
        view.service = Some(Arc::new(service));
    });
    let reserve = ask(rig.address, "POST", "/trade-desk/reserve/a");
    let later = async {
        tokio::time::sleep(WORK / 5).await;
        ask(rig.address, "POST", "/trade-desk/reserve/a").await
    };
    let urgent = async {
        tokio::time::sleep(WORK / 5 * 2).await;
        ask(rig.address, "GET", "/trade-desk/stock/a").await
    };
    tokio::join!(reserve, later, urgent);
    let order: Vec<_> = upstream.asks().into_iter().map(|a| a.path).collect();
    assert_eq!(order, ["/reserve/a", "/stock/a", "/reserve/a"]);
}

/// Plays `burst` again while this process, which holds callers, daemon and upstream, was stopped for longer
/// than `spare`: what was under way is late then, whatever was admitted.
async fn unstalled<T, F: Future<Output = T>>(spare: Duration, burst: impl Fn() -> F) -> T {
    const TICK: Duration = Duration::from_millis(2);
    const TRIES: u32 = 10;
    for _ in 0..TRIES {
        let longest = Arc::new(Mutex::new(Duration::ZERO));
        let seen = Arc::clone(&longest);
        let ticks = tokio::spawn(async move {
            loop {
                let began = Instant::now();
                tokio::time::sleep(TICK).await;
                let mut seen = seen.lock().expect("no holder panics");
                *seen = began.elapsed().max(*seen);
            }
        });
        let result = burst().await;
        // Lets the tick that a stall has held up end.
        tokio::time::sleep(TICK * 2).await;
        ticks.abort();
        let longest = *longest.lock().expect("no holder panics");
        if longest <= spare {
            return result;
        }
        eprintln!("stopped for {longest:?}, played again");
    }
    panic!("stopped for longer than {spare:?} in each of {TRIES} plays");
}

#[tokio::test]
async fn shed_early() {
    const WORK: Duration = Duration::from_millis(40);
    const SLOTS: u16 = 8;
    let upstream = FakeUpstream::start(|_, _| Reply::Late(WORK, 200, Vec::new())).await;
    // Time for two rounds of work, not for three.
    let rig = rig(&upstream, SLOTS, WORK * 5 / 2);
    for _ in 0..30 {
        join_all((0..2).map(|_| ask(rig.address, "GET", "/trade-desk/stock/a"))).await;
    }
    // One round runs, the queue holds two more, of which the second can't make it.
    let burst = usize::from(SLOTS) * 3;
    let ask_all = || join_all((0..burst).map(|_| ask(rig.address, "GET", "/trade-desk/stock/a")));
    let all = unstalled(WORK / 2, ask_all).await;
    let shed: Vec<_> = all.iter().filter(|got| got.status == 503).collect();
    assert!(shed.iter().all(|got| got.verdict() == "not-run"));
    assert!(shed.iter().all(|got| got.field("rattanarch-retry-ms").is_some()));
    let late = all.iter().filter(|got| got.status == 504).count();
    assert!(late <= 3, "{late} of {burst} came late, {} shed", shed.len());
    assert!(shed.len() >= 5, "{} of {burst} shed", shed.len());
}

#[tokio::test]
async fn cold_collapse() {
    const COLD: usize = 2;
    const WARM_AFTER: usize = 50;
    const SLOTS: u16 = 20;
    // Falls over, for good, once it has refused four times its slots.
    let refused = Arc::new(AtomicUsize::new(0));
    let ended = Arc::new(Mutex::new(0));
    let counted = Arc::clone(&refused);
    let upstream = FakeUpstream::start(move |ask, _| {
        let mut ended = ended.lock().unwrap();
        let fallen = counted.load(Ordering::SeqCst) > 4 * usize::from(SLOTS);
        if fallen || (*ended < WARM_AFTER && ask.now > COLD) {
            counted.fetch_add(1, Ordering::SeqCst);
            return Reply::Refuse(503);
        }
        *ended += 1;
        Reply::Late(WORK / 2, 200, Vec::new())
    })
    .await;
    let rig = rig(&upstream, SLOTS, LONG);
    let callers = (0..40).map(|_| async {
        let mut answered = 0;
        for _ in 0..40 {
            answered +=
                usize::from(ask(rig.address, "GET", "/trade-desk/stock/a").await.status == 200);
        }
        answered
    });
    let answered: usize = join_all(callers).await.into_iter().sum();
    let refused = refused.load(Ordering::SeqCst);
    assert!(refused <= usize::from(SLOTS), "{refused} refused");
    assert!(answered >= 800, "{answered} answered");
    assert!(upstream.peak() > COLD * 2);
}
