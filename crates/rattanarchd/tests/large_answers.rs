//! Large responses are streamed in bounded memory.
//!
//! Guards against a daemon that buffers a whole response, and against callers that keep requests
//! open by not reading.

#![allow(clippy::unwrap_used, reason = "test helpers may panic, as test functions may")]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rattanarchd::request::RequestSettings;
use support::TestDaemon;
use support::send_request;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const BODY_BYTES: usize = 64 * 1024 * 1024;
const CHUNK_BYTES: usize = 64 * 1024;
const SHORT: Duration = Duration::from_millis(300);

/// Starts an upstream that responds to one request with `BODY_BYTES` bytes, and counts the bytes
/// sent.
async fn start_upstream() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&sent);
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = vec![0; 4096];
        let length = stream.read(&mut head).await.unwrap();
        let text = String::from_utf8_lossy(&head[..length]).into_owned();
        let id = text.lines().find_map(|l| l.strip_prefix("rattanarch-request: ")).unwrap();
        let head = format!(
            "HTTP/1.1 200 OK\r\nrattanarch-request: {id}\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        for number in 0..BODY_BYTES / CHUNK_BYTES {
            let chunk = vec![number as u8; CHUNK_BYTES];
            if stream.write_all(&chunk).await.is_err() {
                return;
            }
            counted.fetch_add(CHUNK_BYTES, Ordering::Relaxed);
        }
    });
    (address, sent)
}

#[tokio::test]
async fn complete_response() {
    let (upstream, _) = start_upstream().await;
    let daemon = TestDaemon::start(upstream, SHORT);
    let body = send_request(daemon.address, "GET", "/trade-desk/maps/a").await.body.unwrap();
    assert_eq!(body.len(), BODY_BYTES);
    assert!(body.chunks(CHUNK_BYTES).enumerate().all(|(n, c)| c.iter().all(|b| *b == n as u8)));
}

#[tokio::test]
async fn slow_reader() {
    let (upstream, sent) = start_upstream().await;
    let settings = RequestSettings::default().with_body_timeout(SHORT);
    let daemon = TestDaemon::start_with_settings(settings, upstream, SHORT);
    let mut caller = TcpStream::connect(daemon.address).await.unwrap();
    let request = b"GET /trade-desk/maps/a HTTP/1.1\r\nhost: x\r\n\r\n";
    caller.write_all(request).await.unwrap();
    while sent.load(Ordering::Relaxed) == 0 {
        tokio::time::sleep(SHORT / 100).await;
    }
    // The caller reads nothing, so the upstream can fill only the kernel's buffers, and the daemon
    // closes the connection.
    tokio::time::timeout(SHORT * 20, daemon.handler.running().wait_until_idle()).await.unwrap();
    tokio::time::sleep(SHORT * 3).await;
    assert_eq!(daemon.handler.running().count(), 0);
    assert!(sent.load(Ordering::Relaxed) < BODY_BYTES / 2);
    let mut response = Vec::new();
    let _ = caller.read_to_end(&mut response).await;
    assert!(response.len() < BODY_BYTES / 2);
}
