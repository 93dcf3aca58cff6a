//! Callers that send nonsense, too much, too slowly or on too many connections.

#![allow(clippy::unwrap_used, reason = "as in test functions")]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use rattanarchd::request::RequestSettings;
use support::FakeUpstream;
use support::Reply;
use support::Rig;
use support::ask;
use support::ask_with;
use support::raw;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const SHORT: Duration = Duration::from_millis(150);
const LONG: Duration = Duration::from_secs(10);

async fn rig() -> (FakeUpstream, Rig) {
    let upstream = FakeUpstream::start(|ask, _| match ask.path.as_str() {
        "/mute/a" => Reply::Mute,
        _ => Reply::Answer(200, Vec::new()),
    })
    .await;
    let settings = RequestSettings::default()
        .with_head_timeout(SHORT)
        .with_body_timeout(SHORT)
        .with_body_limit(100_000)
        .with_caller_connections(2);
    let rig = Rig::with(settings, upstream.address, LONG);
    (upstream, rig)
}

/// Sends `text`, closes the sending side if `half`, and returns the answer.
async fn send(address: SocketAddr, text: &str, half: bool) -> String {
    if !half {
        return tokio::time::timeout(LONG, raw(address, text.as_bytes())).await.unwrap();
    }
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    stream.shutdown().await.unwrap();
    let mut answer = String::new();
    let read = tokio::time::timeout(LONG, stream.read_to_string(&mut answer)).await.unwrap();
    read.unwrap();
    answer
}

fn check(answer: &str, status: u16, verdict: &str) {
    assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{answer}");
    assert!(answer.contains(&format!("rattanarch-verdict: {verdict}\r\n")), "{answer}");
}

#[tokio::test]
async fn wrong_requests() {
    let (upstream, rig) = rig().await;
    let long = [("rattanarch-deadline-ms", "soon")];
    let cases = [
        (ask(rig.address, "GET", "/nobody/stock/a").await, 404),
        (ask(rig.address, "GET", "/trade-desk/stock").await, 400),
        (ask(rig.address, "GET", "/").await, 400),
        (ask(rig.address, "PUT", "/trade-desk/control/grant").await, 404),
        (ask(rig.address, "PUT", "/trade-desk/%63ontrol/grant").await, 404),
        (ask(rig.address, "PUT", "/trade-desk//control/grant").await, 400),
        (ask(rig.address, "PUT", "/trade-desk/stock/../control/grant").await, 400),
        (ask(rig.address, "GET", "/trade-desk/stock/a%0Ab").await, 400),
        (ask_with(rig.address, "GET", "/trade-desk/stock/a", &long, b"").await, 400),
        (ask_with(rig.address, "POST", "/trade-desk/stock/a", &[], &vec![0; 100_001]).await, 413),
    ];
    for (got, status) in cases {
        assert_eq!((got.status, got.verdict()), (status, "not-run"));
        assert!(got.field("proxy-status").is_some());
    }
    assert_eq!(upstream.asks().len(), 0);
}

#[tokio::test]
async fn malformed_head() {
    let (_upstream, rig) = rig().await;
    let old = "GET /trade-desk/stock/a HTTP/1.0\r\n\r\n";
    let old = send(rig.address, old, false).await;
    assert!(old.contains(" 505 ") && old.contains("rattanarch-verdict: not-run\r\n"), "{old}");
    check(&send(rig.address, "NONSENSE\r\n\r\n", false).await, 400, "not-run");
    let huge = format!("GET /trade-desk/stock/a HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(20_000));
    check(&send(rig.address, &huge, false).await, 431, "not-run");
    let many = format!("GET /trade-desk/stock/a HTTP/1.1\r\n{}\r\n", "x: y\r\n".repeat(200));
    check(&send(rig.address, &many, false).await, 431, "not-run");
}

#[tokio::test]
async fn slow_sender() {
    let (upstream, rig) = rig().await;
    check(&send(rig.address, "GET /trade-desk/st", false).await, 408, "not-run");
    let body = "POST /trade-desk/stock/a HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nhalf";
    check(&send(rig.address, body, false).await, 408, "not-run");
    assert_eq!(upstream.asks().len(), 0);
}

#[tokio::test]
async fn half_closed() {
    let (_upstream, rig) = rig().await;
    check(&send(rig.address, "GET /trade-desk/st", true).await, 400, "not-run");
    let mute = "POST /trade-desk/mute/a HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n";
    check(&send(rig.address, mute, true).await, 400, "may-have-run");
}

#[tokio::test]
async fn too_many_connections() {
    let (_upstream, rig) = rig().await;
    let one = TcpStream::connect(rig.address).await.unwrap();
    let two = TcpStream::connect(rig.address).await.unwrap();
    check(&send(rig.address, "", false).await, 503, "not-run");
    drop((one, two));
    tokio::time::sleep(SHORT).await;
    assert_eq!(ask(rig.address, "GET", "/trade-desk/stock/a").await.status, 200);
}
