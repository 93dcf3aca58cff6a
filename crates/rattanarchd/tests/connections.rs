//! Connections to the upstream that are closed while idle, stop responding or are reused, and
//! bursts of caller connections.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use support::FakeUpstream;
use support::Reply;
use support::TestDaemon;
use support::send_request;

const SHORT: Duration = Duration::from_millis(500);

#[tokio::test]
async fn closed_idle() {
    let text = "HTTP/1.1 200 OK\r\nrattanarch-request: {id}\r\ncontent-length: 2\r\n\r\nok";
    let upstream = FakeUpstream::start(move |_, _| Reply::RawThenClose(text.to_owned())).await;
    let daemon = TestDaemon::start(upstream.address, SHORT);
    for _ in 0..20 {
        let response = send_request(daemon.address, "POST", "/trade-desk/reserve/a").await;
        assert_eq!((response.status, response.verdict()), (200, "done"));
    }
    assert_eq!(upstream.requests().len(), 20);
}

#[tokio::test]
async fn silent_connections() {
    const CONCURRENT: usize = 4;
    // Enough responses for the admission controller to run CONCURRENT requests at once.
    const WARM_UP: usize = 40;
    // The first connections stop responding after the first requests; later connections respond.
    let last = Arc::new(AtomicUsize::new(0));
    let seen = Arc::clone(&last);
    let script = move |request: &support::ReceivedRequest, number| {
        if number >= WARM_UP + CONCURRENT && request.connection <= seen.load(Ordering::SeqCst) {
            return Reply::Hang;
        }
        if number < WARM_UP + CONCURRENT {
            seen.fetch_max(request.connection, Ordering::SeqCst);
        }
        match number {
            WARM_UP.. if number < WARM_UP + CONCURRENT => {
                Reply::RespondAfter(SHORT / 5, 200, b"ok".to_vec())
            }
            _ => Reply::Respond(200, b"ok".to_vec()),
        }
    };
    let upstream = FakeUpstream::start(script).await;
    let daemon = TestDaemon::start(upstream.address, SHORT);
    for _ in 0..WARM_UP {
        assert_eq!(send_request(daemon.address, "POST", "/trade-desk/reserve/a").await.status, 200);
    }
    let first =
        (0..CONCURRENT).map(|_| send_request(daemon.address, "POST", "/trade-desk/reserve/a"));
    for response in futures_util::future::join_all(first).await {
        assert_eq!(response.status, 200);
    }
    assert!(last.load(Ordering::SeqCst) >= 1, "only one connection was opened");
    let mut failed = 0;
    for _ in 0..2 * CONCURRENT {
        let response = send_request(daemon.address, "POST", "/trade-desk/reserve/a").await;
        if response.status != 200 {
            assert_eq!((response.status, response.verdict()), (504, "may-have-run"));
            failed += 1;
            tokio::time::sleep(SHORT).await;
        }
    }
    assert_eq!(failed, 1);
    let requests = upstream.requests();
    let ids: BTreeSet<_> = requests.iter().filter_map(|r| r.header("rattanarch-request")).collect();
    assert_eq!(requests.len(), WARM_UP + 3 * CONCURRENT);
    assert_eq!(ids.len(), requests.len());
}

#[tokio::test]
async fn reused_connection() {
    let upstream = FakeUpstream::start(|_, _| Reply::Respond(200, b"ok".to_vec())).await;
    let daemon = TestDaemon::start(upstream.address, SHORT);
    for _ in 0..10 {
        assert_eq!(send_request(daemon.address, "GET", "/trade-desk/stock/a").await.status, 200);
    }
    let used: BTreeSet<_> = upstream.requests().iter().map(|r| r.connection).collect();
    assert_eq!(used.len(), 1);
}

#[tokio::test]
async fn connection_burst() {
    const CALLERS: usize = 300;
    let upstream = FakeUpstream::start(|_, _| Reply::Respond(200, Vec::new())).await;
    let daemon = TestDaemon::start(upstream.address, SHORT);
    // This thread also runs the server and does not await here, so no connection is accepted yet.
    let connect = |_| std::net::TcpStream::connect_timeout(&daemon.address, SHORT).ok();
    let connected: Vec<_> = (0..CALLERS).filter_map(connect).collect();
    assert_eq!(connected.len(), CALLERS);
}
