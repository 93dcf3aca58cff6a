//! Responses that arrive after their callers disconnected.

#![allow(clippy::unwrap_used, reason = "test helpers may panic, as test functions may")]

mod support;

use std::time::Duration;

use support::FakeUpstream;
use support::Reply;
use support::TestDaemon;
use support::send_request_with;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const WORK_TIME: Duration = Duration::from_millis(300);

/// A response that arrives after its caller disconnected is stored, and returned to a repeat by
/// idempotency key.
#[tokio::test]
async fn kept_for_repeat() {
    let upstream =
        FakeUpstream::start(|_, _| Reply::RespondAfter(WORK_TIME, 201, b"kept".to_vec())).await;
    let daemon = TestDaemon::start(upstream.address, WORK_TIME * 10);
    let mut caller = TcpStream::connect(daemon.address).await.unwrap();
    let text = "POST /trade-desk/reserve/a HTTP/1.1\r\nhost: x\r\nidempotency-key: one\r\n\
                content-length: 5\r\n\r\ncrate";
    caller.write_all(text.as_bytes()).await.unwrap();
    while upstream.requests().is_empty() {
        tokio::time::sleep(WORK_TIME / 30).await;
    }
    drop(caller);
    tokio::time::sleep(WORK_TIME * 2).await;
    let headers = [("idempotency-key", "one")];
    let response =
        send_request_with(daemon.address, "POST", "/trade-desk/reserve/a", &headers, b"crate")
            .await;
    assert_eq!(
        (response.status, response.verdict(), response.body.as_deref()),
        (201, "done", Some(&b"kept"[..]))
    );
    assert_eq!(upstream.requests().len(), 1);
}
