//! A repeat by idempotency key gets the first response, or a verdict on the first run.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use support::CallerResponse;
use support::FakeUpstream;
use support::Reply;
use support::TestDaemon;
use support::send_request_with;

const SECOND: Duration = Duration::from_secs(1);

async fn reserve(address: SocketAddr, key: &str, body: &[u8]) -> CallerResponse {
    let headers = [("idempotency-key", key)];
    send_request_with(address, "POST", "/trade-desk/reserve/a", &headers, body).await
}

#[tokio::test]
async fn first_response() {
    let script = |_: &_, number: usize| Reply::Respond(201, number.to_string().into_bytes());
    let upstream = FakeUpstream::start(script).await;
    let daemon = TestDaemon::start(upstream.address, SECOND);
    for _ in 0..3 {
        let response = reserve(daemon.address, "one", b"crate").await;
        assert_eq!((response.status, response.verdict()), (201, "done"));
        assert_eq!(response.body.as_deref(), Some(&b"0"[..]));
    }
    let response = reserve(daemon.address, "two", b"crate").await;
    assert_eq!(response.body.as_deref(), Some(&b"1"[..]));
    assert_eq!(upstream.requests().len(), 2);
    assert_eq!(upstream.requests()[0].header("idempotency-key"), Some("one"));
}

#[tokio::test]
async fn different_request() {
    let upstream = FakeUpstream::start(|_, _| Reply::Respond(201, Vec::new())).await;
    let daemon = TestDaemon::start(upstream.address, SECOND);
    reserve(daemon.address, "one", b"crate").await;
    let response = reserve(daemon.address, "one", b"two crates").await;
    assert_eq!((response.status, response.verdict()), (422, "not-run"));
    assert_eq!(upstream.requests().len(), 1);
}

#[tokio::test]
async fn unknown_outcome() {
    let upstream = FakeUpstream::start(|_, _| Reply::Close).await;
    let daemon = TestDaemon::start(upstream.address, SECOND);
    let first = reserve(daemon.address, "one", b"crate").await;
    assert_eq!((first.status, first.verdict()), (502, "may-have-run"));
    let repeat = reserve(daemon.address, "one", b"crate").await;
    assert_eq!((repeat.status, repeat.verdict()), (409, "may-have-run"));
    assert_eq!(upstream.requests().len(), 1);
}

#[tokio::test]
async fn still_running() {
    let upstream =
        FakeUpstream::start(|_, _| Reply::RespondAfter(SECOND / 3, 201, Vec::new())).await;
    let daemon = TestDaemon::start(upstream.address, SECOND);
    let first = reserve(daemon.address, "one", b"crate");
    let repeat = async {
        tokio::time::sleep(SECOND / 10).await;
        reserve(daemon.address, "one", b"crate").await
    };
    let (first, repeat) = tokio::join!(first, repeat);
    assert_eq!(first.status, 201);
    assert_eq!((repeat.status, repeat.verdict()), (409, "may-have-run"));
    assert!(repeat.header("rattanarch-retry-ms").is_some());
    assert_eq!(upstream.requests().len(), 1);
}

#[tokio::test]
async fn refused_first() {
    let script = |_: &_, number| match number {
        0 => Reply::Refuse(503),
        _ => Reply::Respond(201, Vec::new()),
    };
    let upstream = FakeUpstream::start(script).await;
    let daemon = TestDaemon::start(upstream.address, SECOND);
    let first = reserve(daemon.address, "one", b"crate").await;
    assert_eq!((first.status, first.verdict()), (503, "not-run"));
    // The first request did not run, so the repeat runs.
    assert_eq!(reserve(daemon.address, "one", b"crate").await.status, 201);
    assert_eq!(upstream.requests().len(), 2);
}
