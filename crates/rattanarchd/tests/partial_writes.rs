//! Requests that fail while their body is only partly sent.
//!
//! Guards against a second attempt without the body, and against the verdict `not-run` for a
//! request that may have run.

#![allow(clippy::unwrap_used, reason = "test helpers may panic, as test functions may")]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use support::TestDaemon;
use support::send_request_with;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const SECOND: Duration = Duration::from_secs(1);
/// Body size that exceeds what the daemon buffers and what the sockets' buffers hold.
const BODY_BYTES: usize = 16 * 1024 * 1024;

/// Starts an upstream that writes `response` after its first read, which contains the head, and
/// then reads on if `reads_on`. Counts the connections with a request, and the bytes read.
async fn start_upstream(
    response: &'static str,
    reads_on: bool,
) -> (SocketAddr, Arc<[AtomicUsize; 2]>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let counts: Arc<[AtomicUsize; 2]> = Arc::default();
    let counted = Arc::clone(&counts);
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut chunk = vec![0; 64 * 1024];
            let count = stream.read(&mut chunk).await.unwrap_or(0);
            if count == 0 || chunk.starts_with(b"DELETE") {
                continue;
            }
            counted[0].fetch_add(1, Ordering::SeqCst);
            counted[1].fetch_add(count, Ordering::SeqCst);
            let head = String::from_utf8_lossy(&chunk[..count]).into_owned();
            let id = head.lines().find_map(|l| l.strip_prefix("rattanarch-request: "));
            let _ = stream.write_all(response.replace("{id}", id.unwrap()).as_bytes()).await;
            if !reads_on {
                continue;
            }
            while let Ok(count @ 1..) = stream.read(&mut chunk).await {
                counted[1].fetch_add(count, Ordering::SeqCst);
            }
        }
    });
    (address, counts)
}

#[tokio::test]
async fn refused_midway() {
    let refusal = "HTTP/1.1 503 X\r\nrattanarch-request: {id}\r\n\
                   rattanarch-verdict: not-run\r\ncontent-length: 0\r\n\r\n";
    let (upstream, counts) = start_upstream(refusal, true).await;
    let daemon = TestDaemon::start(upstream, SECOND * 5);
    let body = vec![0; BODY_BYTES];
    let response =
        send_request_with(daemon.address, "PUT", "/trade-desk/reserve/a", &[], &body).await;
    assert_eq!((response.status, response.verdict()), (503, "not-run"));
    assert_eq!(counts[0].load(Ordering::SeqCst), 1);
    assert_eq!(daemon.handler.running().unresolved(), []);
}

#[tokio::test]
async fn closed_midway() {
    let (upstream, counts) = start_upstream("", false).await;
    let daemon = TestDaemon::start(upstream, SECOND * 5);
    let body = vec![0; BODY_BYTES];
    let response =
        send_request_with(daemon.address, "PUT", "/trade-desk/reserve/a", &[], &body).await;
    // The method is idempotent, but the body is no longer available, so there is no second attempt.
    assert_eq!((response.status, response.verdict()), (502, "may-have-run"));
    assert_eq!(counts[0].load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn caller_gone_midway() {
    let (upstream, counts) = start_upstream("", true).await;
    let daemon = TestDaemon::start(upstream, SECOND * 5);
    let mut caller = TcpStream::connect(daemon.address).await.unwrap();
    let head = format!(
        "POST /trade-desk/reserve/a HTTP/1.1\r\nhost: x\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    );
    caller.write_all(head.as_bytes()).await.unwrap();
    caller.write_all(&vec![0; BODY_BYTES / 4]).await.unwrap();
    while counts[1].load(Ordering::SeqCst) < BODY_BYTES / 8 {
        tokio::time::sleep(SECOND / 100).await;
    }
    drop(caller);
    tokio::time::sleep(SECOND / 2).await;
    // The upstream received a truncated body, so the outcome is unknown.
    assert!(counts[1].load(Ordering::SeqCst) < BODY_BYTES / 2);
    assert_eq!(daemon.handler.running().unresolved().len(), 1);
}
