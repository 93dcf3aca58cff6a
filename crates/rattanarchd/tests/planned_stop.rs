//! A planned stop completes all requests that the daemon accepted.

#![allow(clippy::unwrap_used, reason = "test helpers may panic, as test functions may")]

mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use support::FakeUpstream;
use support::Reply;
use support::TestDaemon;
use support::send_request;
use tokio::net::TcpStream;

const WORK_TIME: Duration = Duration::from_millis(20);
const CALLERS: usize = 8;

#[tokio::test]
async fn stop_under_load() {
    let upstream =
        FakeUpstream::start(|_, _| Reply::RespondAfter(WORK_TIME, 200, b"ok".to_vec())).await;
    let daemon = TestDaemon::start(upstream.address, WORK_TIME * 50);
    let address = daemon.address;
    let completed = Arc::new(AtomicUsize::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let completed = Arc::clone(&completed);
            tokio::spawn(async move {
                // Runs until the daemon stops accepting; `send_request` panics on a cut connection.
                while TcpStream::connect(address).await.is_ok() {
                    let response = send_request(address, "POST", "/trade-desk/reserve/a").await;
                    assert_eq!(
                        (response.status, response.body.as_deref()),
                        (200, Some(&b"ok"[..]))
                    );
                    completed.fetch_add(1, Ordering::Relaxed);
                    if response.header("connection") == Some("close") {
                        return;
                    }
                }
            })
        })
        .collect();
    tokio::time::sleep(WORK_TIME * 5).await;
    assert!(daemon.server.stop(WORK_TIME * 200).await);
    for caller in callers {
        caller.await.unwrap();
    }
    assert_eq!(upstream.requests().len(), completed.load(Ordering::Relaxed));
    assert_eq!(daemon.handler.running().count(), 0);
}

#[tokio::test]
async fn long_request() {
    let upstream =
        FakeUpstream::start(|_, _| Reply::RespondAfter(WORK_TIME * 50, 200, b"ok".to_vec())).await;
    let daemon = TestDaemon::start(upstream.address, WORK_TIME * 200);
    let address = daemon.address;
    let caller =
        tokio::spawn(async move { send_request(address, "POST", "/trade-desk/reserve/a").await });
    tokio::time::sleep(WORK_TIME * 2).await;
    assert!(daemon.server.stop(WORK_TIME * 200).await);
    let response = caller.await.unwrap();
    assert_eq!(response.body.as_deref(), Some(&b"ok"[..]));
    assert!(TcpStream::connect(address).await.is_err());
}
