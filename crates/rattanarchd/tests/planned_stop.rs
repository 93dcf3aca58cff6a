//! A planned stop cuts no request.

#![allow(clippy::unwrap_used, reason = "as in test functions")]

mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use support::FakeUpstream;
use support::Reply;
use support::Rig;
use support::ask;
use tokio::net::TcpStream;

const WORK: Duration = Duration::from_millis(20);
const CALLERS: usize = 8;

#[tokio::test]
async fn stop_under_load() {
    let upstream = FakeUpstream::start(|_, _| Reply::Late(WORK, 200, b"ok".to_vec())).await;
    let rig = Rig::start(upstream.address, WORK * 50);
    let address = rig.address;
    let answered = Arc::new(AtomicUsize::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let answered = Arc::clone(&answered);
            tokio::spawn(async move {
                // Ends when the daemon no longer accepts; `ask` fails on any cut.
                while TcpStream::connect(address).await.is_ok() {
                    let got = ask(address, "POST", "/trade-desk/reserve/a").await;
                    assert_eq!((got.status, got.body.as_deref()), (200, Some(&b"ok"[..])));
                    answered.fetch_add(1, Ordering::Relaxed);
                    if got.field("connection") == Some("close") {
                        return;
                    }
                }
            })
        })
        .collect();
    tokio::time::sleep(WORK * 5).await;
    assert!(rig.server.stop(WORK * 200).await);
    for caller in callers {
        caller.await.unwrap();
    }
    assert_eq!(upstream.asks().len(), answered.load(Ordering::Relaxed));
    assert_eq!(rig.path.running().count(), 0);
}

#[tokio::test]
async fn long_request() {
    let upstream = FakeUpstream::start(|_, _| Reply::Late(WORK * 50, 200, b"ok".to_vec())).await;
    let rig = Rig::start(upstream.address, WORK * 200);
    let address = rig.address;
    let caller = tokio::spawn(async move { ask(address, "POST", "/trade-desk/reserve/a").await });
    tokio::time::sleep(WORK * 2).await;
    assert!(rig.server.stop(WORK * 200).await);
    let got = caller.await.unwrap();
    assert_eq!(got.body.as_deref(), Some(&b"ok"[..]));
    assert!(TcpStream::connect(address).await.is_err());
}
