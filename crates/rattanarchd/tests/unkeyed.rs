//! Services without keys: any eligible instance may run a request.
//!
//! Guards against requests at instances that are out, second runs of writes, and retries or hedges
//! that multiply the load on failing upstreams.

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
use support::SERVICE;
use support::TestDaemon;
use support::send_request;

const SECOND: Duration = Duration::from_secs(1);
const PATH: &str = "/trade-desk/files/a";

async fn start_healthy() -> FakeUpstream {
    FakeUpstream::start(|_, _| Reply::Respond(200, Vec::new())).await
}

async fn start_failing(refuse: bool) -> FakeUpstream {
    let reply = move || if refuse { Reply::Refuse(503) } else { Reply::Close };
    FakeUpstream::start(move |_, _| reply()).await
}

#[tokio::test]
async fn load_spread() {
    let (one, two) = (start_healthy().await, start_healthy().await);
    let daemons = TestDaemon::start_unkeyed(&[one.address, two.address], SECOND);
    for _ in 0..100 {
        assert_eq!(send_request(daemons[0].address, "POST", PATH).await.status, 200);
    }
    assert_eq!(one.requests().len() + two.requests().len(), 100);
    assert!(!one.requests().is_empty());
}

#[tokio::test]
async fn instance_out() {
    let (one, two) = (start_healthy().await, start_healthy().await);
    let daemons = TestDaemon::start_unkeyed(&[one.address, two.address], SECOND);
    for daemon in &daemons {
        daemon.update_view(|view| {
            let mut configuration = Configuration::clone(&view.configuration);
            let service = configuration.services.get_mut(SERVICE).unwrap();
            service.out.insert("desk-1".to_owned());
            view.configuration = Arc::new(configuration);
        });
    }
    for _ in 0..30 {
        assert_eq!(send_request(daemons[0].address, "POST", PATH).await.status, 200);
    }
    assert_eq!((one.requests().len(), two.requests().len()), (0, 30));
}

#[tokio::test]
async fn data_centre_out() {
    let one = start_healthy().await;
    let daemons = TestDaemon::start_unkeyed(&[one.address], SECOND);
    daemons[0].update_view(|view| {
        let mut configuration = Configuration::clone(&view.configuration);
        let centre = DataCentre { standing: Standing::Out, ..DataCentre::default() };
        configuration.data_centres.insert("hafenhalle".to_owned(), centre);
        view.configuration = Arc::new(configuration);
    });
    let response = send_request(daemons[0].address, "GET", PATH).await;
    assert_eq!((response.status, response.verdict()), (503, "not-run"));
    assert_eq!(one.requests().len(), 0);
}

#[tokio::test]
async fn refusal_retried() {
    let (one, two) = (start_failing(true).await, start_healthy().await);
    let daemons = TestDaemon::start_unkeyed(&[one.address, two.address], SECOND);
    for _ in 0..10 {
        let response = send_request(daemons[0].address, "POST", PATH).await;
        assert_eq!((response.status, response.verdict()), (200, "done"));
    }
    assert_eq!(two.requests().len(), 10);
}

#[tokio::test]
async fn no_duplicate_run() {
    let (one, two) = (start_failing(false).await, start_failing(false).await);
    let daemons = TestDaemon::start_unkeyed(&[one.address, two.address], SECOND);
    for _ in 0..10 {
        let response = send_request(daemons[0].address, "POST", PATH).await;
        assert_eq!((response.status, response.verdict()), (502, "may-have-run"));
    }
    assert_eq!(one.requests().len() + two.requests().len(), 10);
}

/// Sends a request to two upstreams that delay the first request they receive by `slow`. Returns
/// the response and the number of requests that reached the upstreams.
async fn first_slow(method: &str, slow: Duration) -> (support::CallerResponse, usize) {
    let count = Arc::new(AtomicUsize::new(0));
    let script = || {
        let count = Arc::clone(&count);
        FakeUpstream::start(move |_, _| match count.fetch_add(1, Ordering::SeqCst) {
            0 => Reply::RespondAfter(slow, 200, b"slow".to_vec()),
            _ => Reply::Respond(200, b"fast".to_vec()),
        })
    };
    let (one, two) = (script().await, script().await);
    let daemons = TestDaemon::start_unkeyed(&[one.address, two.address], SECOND * 3);
    let response = send_request(daemons[0].address, method, PATH).await;
    (response, one.requests().len() + two.requests().len())
}

#[tokio::test]
async fn hedged_read() {
    let (response, requests) = first_slow("GET", SECOND * 10).await;
    assert_eq!((response.body.as_deref(), requests), (Some(&b"fast"[..]), 2));
}

#[tokio::test]
async fn write_not_hedged() {
    let (response, requests) = first_slow("POST", SECOND / 2).await;
    assert_eq!((response.body.as_deref(), requests), (Some(&b"slow"[..]), 1));
}

/// Sends `count` requests to two upstreams that refuse everything, and returns the number of attempts
/// that the upstreams received.
async fn refused_load(method: &str, count: usize) -> usize {
    let (one, two) = (start_failing(true).await, start_failing(true).await);
    let daemons = TestDaemon::start_unkeyed(&[one.address, two.address], SECOND);
    for _ in 0..count {
        let response = send_request(daemons[0].address, method, PATH).await;
        assert_eq!((response.status, response.verdict()), (503, "not-run"));
    }
    one.requests().len() + two.requests().len()
}

#[tokio::test]
async fn retry_budget() {
    const COUNT: usize = 300;
    let sent = refused_load("POST", COUNT).await;
    // The retry budget is a tenth of the requests, with a burst of 10.
    assert!(sent <= COUNT + COUNT / 10 + 10, "{sent}");
}

#[tokio::test]
async fn hedge_budget() {
    const COUNT: usize = 300;
    let sent = refused_load("GET", COUNT).await;
    // In addition to retries, the hedge budget is a twentieth of the requests, with a burst of 5.
    assert!(sent <= COUNT + COUNT / 10 + 10 + COUNT / 20 + 5, "{sent}");
}
