//! A repeated request with an idempotency key gets the first answer or a true verdict.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use support::FakeUpstream;
use support::Got;
use support::Reply;
use support::Rig;
use support::ask_with;

const SECOND: Duration = Duration::from_secs(1);

async fn reserve(address: SocketAddr, key: &str, body: &[u8]) -> Got {
    let fields = [("idempotency-key", key)];
    ask_with(address, "POST", "/trade-desk/reserve/a", &fields, body).await
}

#[tokio::test]
async fn first_answer() {
    let number = |_: &_, number: usize| Reply::Answer(201, number.to_string().into_bytes());
    let upstream = FakeUpstream::start(number).await;
    let rig = Rig::start(upstream.address, SECOND);
    for _ in 0..3 {
        let got = reserve(rig.address, "one", b"crate").await;
        assert_eq!((got.status, got.verdict()), (201, "done"));
        assert_eq!(got.body.as_deref(), Some(&b"0"[..]));
    }
    let got = reserve(rig.address, "two", b"crate").await;
    assert_eq!(got.body.as_deref(), Some(&b"1"[..]));
    assert_eq!(upstream.asks().len(), 2);
    assert_eq!(upstream.asks()[0].field("idempotency-key"), Some("one"));
}

#[tokio::test]
async fn other_request() {
    let upstream = FakeUpstream::start(|_, _| Reply::Answer(201, Vec::new())).await;
    let rig = Rig::start(upstream.address, SECOND);
    reserve(rig.address, "one", b"crate").await;
    let got = reserve(rig.address, "one", b"two crates").await;
    assert_eq!((got.status, got.verdict()), (422, "not-run"));
    assert_eq!(upstream.asks().len(), 1);
}

#[tokio::test]
async fn unknown_outcome() {
    let upstream = FakeUpstream::start(|_, _| Reply::Close).await;
    let rig = Rig::start(upstream.address, SECOND);
    let first = reserve(rig.address, "one", b"crate").await;
    assert_eq!((first.status, first.verdict()), (502, "may-have-run"));
    let again = reserve(rig.address, "one", b"crate").await;
    assert_eq!((again.status, again.verdict()), (409, "may-have-run"));
    assert_eq!(upstream.asks().len(), 1);
}

#[tokio::test]
async fn still_running() {
    let upstream = FakeUpstream::start(|_, _| Reply::Late(SECOND / 3, 201, Vec::new())).await;
    let rig = Rig::start(upstream.address, SECOND);
    let first = reserve(rig.address, "one", b"crate");
    let again = async {
        tokio::time::sleep(SECOND / 10).await;
        reserve(rig.address, "one", b"crate").await
    };
    let (first, again) = tokio::join!(first, again);
    assert_eq!(first.status, 201);
    assert_eq!((again.status, again.verdict()), (409, "may-have-run"));
    assert!(again.field("rattanarch-retry-ms").is_some());
    assert_eq!(upstream.asks().len(), 1);
}

#[tokio::test]
async fn refused_first() {
    let script = |_: &_, number| match number {
        0 => Reply::Refuse(503),
        _ => Reply::Answer(201, Vec::new()),
    };
    let upstream = FakeUpstream::start(script).await;
    let rig = Rig::start(upstream.address, SECOND);
    let first = reserve(rig.address, "one", b"crate").await;
    assert_eq!((first.status, first.verdict()), (503, "not-run"));
    // It did not run: the repeat does.
    assert_eq!(reserve(rig.address, "one", b"crate").await.status, 201);
    assert_eq!(upstream.asks().len(), 2);
}
