//! Responses that are late, truncated, missing, or carry the wrong request id.

mod support;

use std::time::Duration;

use support::FakeUpstream;
use support::Reply;
use support::TestDaemon;
use support::send_request;

const SHORT: Duration = Duration::from_millis(150);
const LONG: Duration = Duration::from_secs(10);

fn ok(text: &str) -> Reply {
    Reply::Respond(200, text.as_bytes().to_vec())
}

#[tokio::test]
async fn late_response() {
    let script = |request: &support::ReceivedRequest, number| match number {
        0 => Reply::RespondAfter(SHORT * 3, 200, b"late".to_vec()),
        _ => ok(&request.path),
    };
    let upstream = FakeUpstream::start(script).await;
    let daemon = TestDaemon::start(upstream.address, SHORT);
    let first = send_request(daemon.address, "POST", "/trade-desk/reserve/a").await;
    assert_eq!((first.status, first.verdict()), (504, "may-have-run"));
    assert!(first.header("retry-after").is_some());
    assert_eq!(daemon.handler.running().unresolved().len(), 1);
    for _ in 0..3 {
        let next = send_request(daemon.address, "POST", "/trade-desk/reserve/b").await;
        assert_eq!(next.body.as_deref(), Some(&b"/reserve/b"[..]));
    }
    // The late response resolves the request, and its connection is not reused meanwhile.
    tokio::time::timeout(LONG, daemon.handler.running().wait_until_idle()).await.unwrap();
    let requests = upstream.requests();
    assert_eq!(requests.len(), 4);
    assert!(requests[1..].iter().all(|r| r.connection != requests[0].connection));
}

#[tokio::test]
async fn wrong_id() {
    let script =
        |_: &support::ReceivedRequest, number| if number == 0 { Reply::WrongId } else { ok("own") };
    let upstream = FakeUpstream::start(script).await;
    let daemon = TestDaemon::start(upstream.address, SHORT);
    let first = send_request(daemon.address, "POST", "/trade-desk/reserve/a").await;
    assert_eq!((first.status, first.verdict()), (502, "may-have-run"));
    let next = send_request(daemon.address, "POST", "/trade-desk/reserve/a").await;
    assert_eq!(next.body.as_deref(), Some(&b"own"[..]));
    let requests = upstream.requests();
    assert_ne!(requests[0].connection, requests[1].connection);
    assert_eq!(daemon.handler.running().unresolved().len(), 1);
}

#[tokio::test]
async fn truncated_body() {
    let heads =
        ["content-length: 10\r\n\r\nhalf", "transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n"];
    for head in heads {
        let text = format!("HTTP/1.1 200 OK\r\nrattanarch-request: {{id}}\r\n{head}");
        let upstream = FakeUpstream::start(move |_, _| Reply::RawThenClose(text.clone())).await;
        let daemon = TestDaemon::start(upstream.address, SHORT);
        let response = send_request(daemon.address, "GET", "/trade-desk/stock/a").await;
        assert_eq!(response.body, None, "{head}");
    }
}

/// A refusal that the upstream writes once more on a kept connection is no answer to the next request there.
#[tokio::test]
async fn repeated_refusal() {
    let refusal = |id: &str| {
        format!(
            "HTTP/1.1 503 X\r\nrattanarch-request: {id}\r\nrattanarch-verdict: not-run\r\n\
             content-length: 0\r\n\r\n"
        )
    };
    let earlier = std::sync::Mutex::new(String::new());
    let script = move |request: &support::ReceivedRequest, number: usize| {
        let id = request.header("rattanarch-request").unwrap_or_default().to_owned();
        if number.is_multiple_of(2) {
            *earlier.lock().unwrap() = id;
            return Reply::RawKeepOpen(refusal("{id}"));
        }
        let own = "HTTP/1.1 200 OK\r\nrattanarch-request: {id}\r\ncontent-length: 3\r\n\r\nown";
        Reply::RawKeepOpen(refusal(&earlier.lock().unwrap()) + own)
    };
    let upstream = FakeUpstream::start(script).await;
    let daemon = TestDaemon::start(upstream.address, SHORT);
    for round in 1..4 {
        let refused = send_request(daemon.address, "POST", "/trade-desk/reserve/a").await;
        assert_eq!(refused.verdict(), "not-run");
        let next = send_request(daemon.address, "POST", "/trade-desk/reserve/b").await;
        assert_ne!(next.verdict(), "not-run", "{}", next.status);
        assert_eq!(upstream.requests().len(), 2 * round, "each request is sent once");
    }
}

#[tokio::test]
async fn partial_head() {
    let whole = "HTTP/1.1 200 OK\r\nrattanarch-request: {id}\r\ncontent-length: 0\r\n\r\n";
    for length in [9, 12, 15, 17, 30, 42, 55, 60, whole.len() - 2, whole.len() - 1] {
        let text = whole[..length].to_owned();
        let upstream = FakeUpstream::start(move |_, _| Reply::RawThenClose(text.clone())).await;
        let daemon = TestDaemon::start(upstream.address, SHORT);
        let response = send_request(daemon.address, "POST", "/trade-desk/reserve/a").await;
        assert_eq!((response.status, response.verdict()), (502, "may-have-run"), "{length}");
    }
}

#[tokio::test]
async fn missing_length() {
    let text = "HTTP/1.1 200 OK\r\nrattanarch-request: {id}\r\n\r\nhalf";
    let upstream = FakeUpstream::start(move |_, _| Reply::RawThenClose(text.to_owned())).await;
    let daemon = TestDaemon::start(upstream.address, SHORT);
    let response = send_request(daemon.address, "POST", "/trade-desk/stock/a").await;
    assert_eq!((response.status, response.verdict()), (502, "may-have-run"));
}

#[tokio::test]
async fn hung_upstream() {
    let upstream = FakeUpstream::start(|_, _| Reply::Hang).await;
    let daemon = TestDaemon::start(upstream.address, SHORT);
    let response = send_request(daemon.address, "POST", "/trade-desk/reserve/a").await;
    assert_eq!((response.status, response.verdict()), (504, "may-have-run"));
    let running = daemon.handler.running();
    let hash = running.unresolved()[0].hash.unwrap();
    let slice = rattanarch_types::slice_of(hash, 8);
    assert!(!running.is_drained(&[slice], &[]));
    assert!(!running.is_drained(&[], &[hash]));
    assert!(running.is_drained(&[(slice + 1) % 8], &[]));
    running.remove_below(7);
    assert!(!running.is_drained(&[slice], &[]));
    running.remove_below(8);
    assert!(running.is_drained(&[slice], &[hash]));
    assert_eq!(upstream.requests().len(), 1);
    // A write that may have run is not cancelled.
    assert_eq!(upstream.control_calls().len(), 0);
}

#[tokio::test]
async fn closed_connection() {
    let upstream = FakeUpstream::start(|_, _| Reply::Close).await;
    let daemon = TestDaemon::start(upstream.address, SHORT);
    let response = send_request(daemon.address, "POST", "/trade-desk/reserve/a").await;
    assert_eq!((response.status, response.verdict()), (502, "may-have-run"));
    assert_eq!(upstream.requests().len(), 1);
}

#[tokio::test]
async fn unreachable_upstream() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let daemon = TestDaemon::start(closed, SHORT);
    let response = send_request(daemon.address, "POST", "/trade-desk/reserve/a").await;
    assert_eq!((response.status, response.verdict()), (503, "not-run"));
    assert!(response.header("rattanarch-retry-ms").is_some());
    assert_eq!(daemon.handler.running().count(), 0);
}
