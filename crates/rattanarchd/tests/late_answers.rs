//! Answers that come late, crossed, cut or never.

mod support;

use std::time::Duration;

use support::FakeUpstream;
use support::Reply;
use support::Rig;
use support::ask;

const SHORT: Duration = Duration::from_millis(150);
const LONG: Duration = Duration::from_secs(10);

fn ok(text: &str) -> Reply {
    Reply::Answer(200, text.as_bytes().to_vec())
}

#[tokio::test]
async fn late_answer() {
    let script = |ask: &support::Ask, number| match number {
        0 => Reply::Late(SHORT * 3, 200, b"late".to_vec()),
        _ => ok(&ask.path),
    };
    let upstream = FakeUpstream::start(script).await;
    let rig = Rig::start(upstream.address, SHORT);
    let first = ask(rig.address, "POST", "/trade-desk/reserve/a").await;
    assert_eq!((first.status, first.verdict()), (504, "may-have-run"));
    assert!(first.field("retry-after").is_some());
    assert_eq!(rig.path.running().unresolved().len(), 1);
    for _ in 0..3 {
        let next = ask(rig.address, "POST", "/trade-desk/reserve/b").await;
        assert_eq!(next.body.as_deref(), Some(&b"/reserve/b"[..]));
    }
    // The late answer settles the request, and its connection carries nothing else.
    tokio::time::timeout(LONG, rig.path.running().idle()).await.unwrap();
    let asks = upstream.asks();
    assert_eq!(asks.len(), 4);
    assert!(asks[1..].iter().all(|a| a.connection != asks[0].connection));
}

#[tokio::test]
async fn crossed_answer() {
    let script = |_: &support::Ask, number| if number == 0 { Reply::Crossed } else { ok("own") };
    let upstream = FakeUpstream::start(script).await;
    let rig = Rig::start(upstream.address, SHORT);
    let first = ask(rig.address, "POST", "/trade-desk/reserve/a").await;
    assert_eq!((first.status, first.verdict()), (502, "may-have-run"));
    let next = ask(rig.address, "POST", "/trade-desk/reserve/a").await;
    assert_eq!(next.body.as_deref(), Some(&b"own"[..]));
    let asks = upstream.asks();
    assert_ne!(asks[0].connection, asks[1].connection);
    assert_eq!(rig.path.running().unresolved().len(), 1);
}

#[tokio::test]
async fn cut_answer() {
    let heads =
        ["content-length: 10\r\n\r\nhalf", "transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n"];
    for head in heads {
        let text = format!("HTTP/1.1 200 OK\r\nrattanarch-request: {{id}}\r\n{head}");
        let upstream = FakeUpstream::start(move |_, _| Reply::Raw(text.clone())).await;
        let rig = Rig::start(upstream.address, SHORT);
        let got = ask(rig.address, "GET", "/trade-desk/stock/a").await;
        assert_eq!(got.body, None, "{head}");
    }
}

#[tokio::test]
async fn endless_answer() {
    let text = "HTTP/1.1 200 OK\r\nrattanarch-request: {id}\r\n\r\nhalf";
    let upstream = FakeUpstream::start(move |_, _| Reply::Raw(text.to_owned())).await;
    let rig = Rig::start(upstream.address, SHORT);
    let got = ask(rig.address, "POST", "/trade-desk/stock/a").await;
    assert_eq!((got.status, got.verdict()), (502, "may-have-run"));
}

#[tokio::test]
async fn frozen_upstream() {
    let upstream = FakeUpstream::start(|_, _| Reply::Mute).await;
    let rig = Rig::start(upstream.address, SHORT);
    let got = ask(rig.address, "POST", "/trade-desk/reserve/a").await;
    assert_eq!((got.status, got.verdict()), (504, "may-have-run"));
    let running = rig.path.running();
    let hash = running.unresolved()[0].hash.unwrap();
    let slice = rattanarch_types::slice_of(hash, 8);
    assert!(!running.is_drained(&[slice], &[]));
    assert!(!running.is_drained(&[], &[hash]));
    assert!(running.is_drained(&[(slice + 1) % 8], &[]));
    running.remove_below(7);
    assert!(!running.is_drained(&[slice], &[]));
    running.remove_below(8);
    assert!(running.is_drained(&[slice], &[hash]));
    assert_eq!(upstream.asks().len(), 1);
    // A reservation that may run is not cancelled.
    assert_eq!(upstream.controls().len(), 0);
}

#[tokio::test]
async fn cut_reservation() {
    let upstream = FakeUpstream::start(|_, _| Reply::Close).await;
    let rig = Rig::start(upstream.address, SHORT);
    let got = ask(rig.address, "POST", "/trade-desk/reserve/a").await;
    assert_eq!((got.status, got.verdict()), (502, "may-have-run"));
    assert_eq!(upstream.asks().len(), 1);
}

#[tokio::test]
async fn unreachable_upstream() {
    let gone = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let rig = Rig::start(gone, SHORT);
    let got = ask(rig.address, "POST", "/trade-desk/reserve/a").await;
    assert_eq!((got.status, got.verdict()), (503, "not-run"));
    assert!(got.field("rattanarch-retry-ms").is_some());
    assert_eq!(rig.path.running().count(), 0);
}
