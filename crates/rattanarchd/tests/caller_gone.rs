//! A caller that goes away cancels its work where that is safe.

#![allow(clippy::unwrap_used, reason = "as in test functions")]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use support::FakeUpstream;
use support::Reply;
use support::Rig;
use support::ask;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const SHORT: Duration = Duration::from_millis(100);
const LONG: Duration = Duration::from_secs(10);

/// Sends a request and goes away once `ready`.
async fn leave(address: SocketAddr, method: &str, ready: impl Fn() -> bool) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let text =
        format!("{method} /trade-desk/stock/a HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n");
    stream.write_all(text.as_bytes()).await.unwrap();
    while !ready() {
        tokio::time::sleep(SHORT / 10).await;
    }
}

#[tokio::test]
async fn cancelled_lookup() {
    let upstream = FakeUpstream::start(|_, _| Reply::Mute).await;
    let rig = Rig::start(upstream.address, LONG);
    leave(rig.address, "GET", || upstream.asks().len() == 1).await;
    tokio::time::timeout(LONG / 3, rig.path.running().idle()).await.unwrap();
    let id = upstream.asks()[0].field("rattanarch-request").unwrap().to_owned();
    let controls = upstream.controls();
    assert_eq!(controls.len(), 1);
    assert_eq!(
        (&*controls[0].method, &controls[0].path),
        ("DELETE", &format!("/control/requests/{id}"))
    );
}

#[tokio::test]
async fn reservation_goes_on() {
    let upstream = FakeUpstream::start(|_, _| Reply::Late(SHORT * 3, 200, Vec::new())).await;
    let rig = Rig::start(upstream.address, LONG);
    leave(rig.address, "POST", || upstream.asks().len() == 1).await;
    tokio::time::sleep(SHORT).await;
    assert_eq!(rig.path.running().unresolved().len(), 1);
    // Its late answer settles it.
    tokio::time::timeout(LONG / 3, rig.path.running().idle()).await.unwrap();
    assert_eq!(upstream.controls().len(), 0);
    assert_eq!(upstream.asks().len(), 1);
}

#[tokio::test]
async fn slot_freed() {
    let upstream = FakeUpstream::start(|ask, _| match ask.method.as_str() {
        "GET" => Reply::Mute,
        _ => Reply::Answer(200, Vec::new()),
    })
    .await;
    let settings = rattanarchd::request::RequestSettings::default().with_slots(1);
    let rig = Rig::with(settings, upstream.address, LONG);
    leave(rig.address, "GET", || upstream.asks().len() == 1).await;
    tokio::time::timeout(LONG / 3, rig.path.running().idle()).await.unwrap();
    assert_eq!(ask(rig.address, "POST", "/trade-desk/reserve/a").await.status, 200);
}
