//! Services without keys: any instance that takes work may answer.

mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rattanarch_types::Configuration;
use rattanarch_types::DataCentre;
use rattanarch_types::Standing;
use support::FakeUpstream;
use support::Reply;
use support::Rig;
use support::SERVICE;
use support::ask;

const SECOND: Duration = Duration::from_secs(1);
const PATH: &str = "/trade-desk/files/a";

async fn good() -> FakeUpstream {
    FakeUpstream::start(|_, _| Reply::Answer(200, Vec::new())).await
}

async fn bad(refuse: bool) -> FakeUpstream {
    let reply = move || if refuse { Reply::Refuse(503) } else { Reply::Close };
    FakeUpstream::start(move |_, _| reply()).await
}

#[tokio::test]
async fn all_served() {
    let (one, two) = (good().await, good().await);
    let rigs = Rig::unkeyed(&[one.address, two.address], SECOND);
    for _ in 0..100 {
        assert_eq!(ask(rigs[0].address, "POST", PATH).await.status, 200);
    }
    assert_eq!(one.asks().len() + two.asks().len(), 100);
    assert!(!one.asks().is_empty());
}

#[tokio::test]
async fn out_skipped() {
    let (one, two) = (good().await, good().await);
    let rigs = Rig::unkeyed(&[one.address, two.address], SECOND);
    for rig in &rigs {
        rig.change(|view| {
            let mut configuration = Configuration::clone(&view.configuration);
            let service = configuration.services.get_mut(SERVICE).unwrap();
            service.out.insert("desk-1".to_owned());
            view.configuration = Arc::new(configuration);
        });
    }
    for _ in 0..30 {
        assert_eq!(ask(rigs[0].address, "POST", PATH).await.status, 200);
    }
    assert_eq!((one.asks().len(), two.asks().len()), (0, 30));
}

#[tokio::test]
async fn data_centre_out() {
    let one = good().await;
    let rigs = Rig::unkeyed(&[one.address], SECOND);
    rigs[0].change(|view| {
        let mut configuration = Configuration::clone(&view.configuration);
        let centre = DataCentre { standing: Standing::Out, ..DataCentre::default() };
        configuration.data_centres.insert("hafenhalle".to_owned(), centre);
        view.configuration = Arc::new(configuration);
    });
    let got = ask(rigs[0].address, "GET", PATH).await;
    assert_eq!((got.status, got.verdict()), (503, "not-run"));
    assert_eq!(one.asks().len(), 0);
}

#[tokio::test]
async fn refusal_goes_elsewhere() {
    let (one, two) = (bad(true).await, good().await);
    let rigs = Rig::unkeyed(&[one.address, two.address], SECOND);
    for _ in 0..10 {
        let got = ask(rigs[0].address, "POST", PATH).await;
        assert_eq!((got.status, got.verdict()), (200, "done"));
    }
    assert_eq!(two.asks().len(), 10);
}

#[tokio::test]
async fn no_duplicate_run() {
    let (one, two) = (bad(false).await, bad(false).await);
    let rigs = Rig::unkeyed(&[one.address, two.address], SECOND);
    for _ in 0..10 {
        let got = ask(rigs[0].address, "POST", PATH).await;
        assert_eq!((got.status, got.verdict()), (502, "may-have-run"));
    }
    assert_eq!(one.asks().len() + two.asks().len(), 10);
}

/// Two upstreams of which the first request to either is slow; returns the answer to it and how
/// many requests they got.
async fn first_slow(method: &str, slow: Duration) -> (support::Got, usize) {
    let count = Arc::new(AtomicUsize::new(0));
    let script = || {
        let count = Arc::clone(&count);
        FakeUpstream::start(move |_, _| match count.fetch_add(1, Ordering::SeqCst) {
            0 => Reply::Late(slow, 200, b"slow".to_vec()),
            _ => Reply::Answer(200, b"fast".to_vec()),
        })
    };
    let (one, two) = (script().await, script().await);
    let rigs = Rig::unkeyed(&[one.address, two.address], SECOND * 3);
    let got = ask(rigs[0].address, method, PATH).await;
    (got, one.asks().len() + two.asks().len())
}

#[tokio::test]
async fn hedged_lookup() {
    let (got, asks) = first_slow("GET", SECOND * 10).await;
    assert_eq!((got.body.as_deref(), asks), (Some(&b"fast"[..]), 2));
}

#[tokio::test]
async fn no_hedged_deposit() {
    let (got, asks) = first_slow("POST", SECOND / 2).await;
    assert_eq!((got.body.as_deref(), asks), (Some(&b"slow"[..]), 1));
}

/// How many requests reach two upstreams that refuse all, for each of `asked`.
async fn storm(method: &str, asked: usize) -> usize {
    let (one, two) = (bad(true).await, bad(true).await);
    let rigs = Rig::unkeyed(&[one.address, two.address], SECOND);
    for _ in 0..asked {
        let got = ask(rigs[0].address, method, PATH).await;
        assert_eq!((got.status, got.verdict()), (503, "not-run"));
    }
    one.asks().len() + two.asks().len()
}

#[tokio::test]
async fn retry_storm() {
    const ASKED: usize = 300;
    let sent = storm("POST", ASKED).await;
    // A tenth, and a first burst of 10.
    assert!(sent <= ASKED + ASKED / 10 + 10, "{sent}");
}

#[tokio::test]
async fn hedge_storm() {
    const ASKED: usize = 300;
    let sent = storm("GET", ASKED).await;
    // As above, and a twentieth and a first burst of 5 hedges.
    assert!(sent <= ASKED + ASKED / 10 + 10 + ASKED / 20 + 5, "{sent}");
}
