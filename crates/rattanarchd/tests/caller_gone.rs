//! A caller that disconnects cancels a request only if the request is safe to cancel.
//!
//! Guards against slots that stay taken by cancelled reads, and against cancelled writes.

#![allow(clippy::unwrap_used, reason = "test helpers may panic, as test functions may")]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use support::FakeUpstream;
use support::Reply;
use support::TestDaemon;
use support::send_request;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const SHORT: Duration = Duration::from_millis(100);
const LONG: Duration = Duration::from_secs(10);

/// Sends a request and disconnects as soon as `ready` returns true.
async fn send_and_disconnect(address: SocketAddr, method: &str, ready: impl Fn() -> bool) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let text =
        format!("{method} /trade-desk/stock/a HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n");
    stream.write_all(text.as_bytes()).await.unwrap();
    while !ready() {
        tokio::time::sleep(SHORT / 10).await;
    }
}

#[tokio::test]
async fn cancelled_read() {
    let upstream = FakeUpstream::start(|_, _| Reply::Hang).await;
    let daemon = TestDaemon::start(upstream.address, LONG);
    send_and_disconnect(daemon.address, "GET", || upstream.requests().len() == 1).await;
    tokio::time::timeout(LONG / 3, daemon.handler.running().wait_until_idle()).await.unwrap();
    let id = upstream.requests()[0].header("rattanarch-request").unwrap().to_owned();
    let control_calls = upstream.control_calls();
    assert_eq!(control_calls.len(), 1);
    assert_eq!(
        (&*control_calls[0].method, &control_calls[0].path),
        ("DELETE", &format!("/control/requests/{id}"))
    );
}

#[tokio::test]
async fn write_not_cancelled() {
    let upstream =
        FakeUpstream::start(|_, _| Reply::RespondAfter(SHORT * 3, 200, Vec::new())).await;
    let daemon = TestDaemon::start(upstream.address, LONG);
    send_and_disconnect(daemon.address, "POST", || upstream.requests().len() == 1).await;
    tokio::time::sleep(SHORT).await;
    assert_eq!(daemon.handler.running().unresolved().len(), 1);
    // The late response resolves the request.
    tokio::time::timeout(LONG / 3, daemon.handler.running().wait_until_idle()).await.unwrap();
    assert_eq!(upstream.control_calls().len(), 0);
    assert_eq!(upstream.requests().len(), 1);
}

#[tokio::test]
async fn slot_freed() {
    let upstream = FakeUpstream::start(|request, _| match request.method.as_str() {
        "GET" => Reply::Hang,
        _ => Reply::Respond(200, Vec::new()),
    })
    .await;
    let settings = rattanarchd::request::RequestSettings::default().with_slots(1);
    let daemon = TestDaemon::start_with_settings(settings, upstream.address, LONG);
    send_and_disconnect(daemon.address, "GET", || upstream.requests().len() == 1).await;
    tokio::time::timeout(LONG / 3, daemon.handler.running().wait_until_idle()).await.unwrap();
    assert_eq!(send_request(daemon.address, "POST", "/trade-desk/reserve/a").await.status, 200);
}
