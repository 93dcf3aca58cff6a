//! An upstream sends interim responses without end.

#![allow(clippy::unwrap_used, reason = "test helpers may panic, as test functions may")]

mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use support::TestDaemon;
use support::send_request;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Limit for the bytes that the daemon reads. It is far above the limit for heads, since the bytes
/// in the sockets' buffers count as well.
const MAX_READ_BYTES: usize = 16 << 20;

/// The bytes read before the final head are bounded, and the request fails once they exceed the
/// bound.
#[tokio::test]
async fn interim_limit() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Arc::<AtomicUsize>::default();
    let counted = Arc::clone(&sent);
    tokio::spawn(async move {
        let heads = "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(200);
        let (mut stream, _) = listener.accept().await.unwrap();
        let length = stream.read(&mut [0; 4096]).await.unwrap();
        assert!(length > 0);
        while stream.write_all(heads.as_bytes()).await.is_ok() {
            counted.fetch_add(heads.len(), Ordering::Relaxed);
        }
    });
    let daemon = TestDaemon::start(address, REQUEST_TIMEOUT);
    let response = send_request(daemon.address, "POST", "/trade-desk/reserve/a").await;
    assert_eq!((response.status, response.verdict()), (502, "may-have-run"));
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent < MAX_READ_BYTES, "{sent} bytes read");
}
