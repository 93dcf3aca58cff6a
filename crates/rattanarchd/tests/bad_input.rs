//! Callers that send malformed, oversized or slow requests, or open too many connections.

#![allow(clippy::unwrap_used, reason = "test helpers may panic, as test functions may")]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use rattanarchd::request::RequestSettings;
use support::FakeUpstream;
use support::Reply;
use support::TestDaemon;
use support::send_bytes;
use support::send_request;
use support::send_request_with;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const SHORT: Duration = Duration::from_millis(150);
const LONG: Duration = Duration::from_secs(10);

async fn start_daemon() -> (FakeUpstream, TestDaemon) {
    let upstream = FakeUpstream::start(|request, _| match request.path.as_str() {
        "/mute/a" => Reply::Hang,
        _ => Reply::Respond(200, Vec::new()),
    })
    .await;
    let settings = RequestSettings::default()
        .with_head_timeout(SHORT)
        .with_body_timeout(SHORT)
        .with_body_limit(100_000)
        .with_caller_connections(2);
    let daemon = TestDaemon::start_with_settings(settings, upstream.address, LONG);
    (upstream, daemon)
}

/// Sends `text`, shuts down the sending side if `shut_down`, and returns the response.
async fn send_text(address: SocketAddr, text: &str, shut_down: bool) -> String {
    if !shut_down {
        return tokio::time::timeout(LONG, send_bytes(address, text.as_bytes())).await.unwrap();
    }
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    stream.shutdown().await.unwrap();
    let mut response = String::new();
    let read = tokio::time::timeout(LONG, stream.read_to_string(&mut response)).await.unwrap();
    read.unwrap();
    response
}

fn assert_response(response: &str, status: u16, verdict: &str) {
    assert!(response.starts_with(&format!("HTTP/1.1 {status} ")), "{response}");
    assert!(response.contains(&format!("rattanarch-verdict: {verdict}\r\n")), "{response}");
}

#[tokio::test]
async fn invalid_requests() {
    let (upstream, daemon) = start_daemon().await;
    let malformed = [("rattanarch-deadline-ms", "soon")];
    let cases = [
        (send_request(daemon.address, "GET", "/nobody/stock/a").await, 404),
        (send_request(daemon.address, "GET", "/trade-desk/stock").await, 400),
        (send_request(daemon.address, "GET", "/").await, 400),
        (send_request(daemon.address, "PUT", "/trade-desk/control/grant").await, 404),
        (send_request(daemon.address, "PUT", "/trade-desk/%63ontrol/grant").await, 404),
        (send_request(daemon.address, "PUT", "/trade-desk//control/grant").await, 400),
        (send_request(daemon.address, "PUT", "/trade-desk/stock/../control/grant").await, 400),
        (send_request(daemon.address, "GET", "/trade-desk/stock/a%0Ab").await, 400),
        (
            send_request_with(daemon.address, "GET", "/trade-desk/stock/a", &malformed, b"").await,
            400,
        ),
        (
            send_request_with(
                daemon.address,
                "POST",
                "/trade-desk/stock/a",
                &[],
                &vec![0; 100_001],
            )
            .await,
            413,
        ),
    ];
    for (response, status) in cases {
        assert_eq!((response.status, response.verdict()), (status, "not-run"));
        assert!(response.header("proxy-status").is_some());
    }
    assert_eq!(upstream.requests().len(), 0);
}

#[tokio::test]
async fn malformed_head() {
    let (_upstream, daemon) = start_daemon().await;
    let old = "GET /trade-desk/stock/a HTTP/1.0\r\n\r\n";
    let old = send_text(daemon.address, old, false).await;
    assert!(old.contains(" 505 ") && old.contains("rattanarch-verdict: not-run\r\n"), "{old}");
    assert_response(&send_text(daemon.address, "NONSENSE\r\n\r\n", false).await, 400, "not-run");
    let huge = format!("GET /trade-desk/stock/a HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(20_000));
    assert_response(&send_text(daemon.address, &huge, false).await, 431, "not-run");
    let many = format!("GET /trade-desk/stock/a HTTP/1.1\r\n{}\r\n", "x: y\r\n".repeat(200));
    assert_response(&send_text(daemon.address, &many, false).await, 431, "not-run");
}

#[tokio::test]
async fn slow_sender() {
    let (upstream, daemon) = start_daemon().await;
    assert_response(&send_text(daemon.address, "GET /trade-desk/st", false).await, 408, "not-run");
    let body = "POST /trade-desk/stock/a HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nhalf";
    assert_response(&send_text(daemon.address, body, false).await, 408, "not-run");
    assert_eq!(upstream.requests().len(), 0);
}

#[tokio::test]
async fn half_closed() {
    let (_upstream, daemon) = start_daemon().await;
    assert_response(&send_text(daemon.address, "GET /trade-desk/st", true).await, 400, "not-run");
    let mute = "POST /trade-desk/mute/a HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n";
    assert_response(&send_text(daemon.address, mute, true).await, 400, "may-have-run");
}

#[tokio::test]
async fn too_many_connections() {
    let (_upstream, daemon) = start_daemon().await;
    let one = TcpStream::connect(daemon.address).await.unwrap();
    let two = TcpStream::connect(daemon.address).await.unwrap();
    assert_response(&send_text(daemon.address, "", false).await, 503, "not-run");
    drop((one, two));
    tokio::time::sleep(SHORT).await;
    assert_eq!(send_request(daemon.address, "GET", "/trade-desk/stock/a").await.status, 200);
}
