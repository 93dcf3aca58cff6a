//! An upstream that sends interim answers without end.

#![allow(clippy::unwrap_used, reason = "as in test functions")]

mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use support::Rig;
use support::ask;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Time that a request may take.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes that may be taken: far more than heads, and what fits into the sockets' buffers.
const MOST_BYTES: usize = 16 << 20;

/// What comes before the last head is bounded, and the request fails as soon as it is too much.
#[tokio::test]
async fn interim_bounded() {
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
    let rig = Rig::start(address, TIMEOUT);
    let got = ask(rig.address, "POST", "/trade-desk/reserve/a").await;
    assert_eq!((got.status, got.verdict()), (502, "may-have-run"));
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent < MOST_BYTES, "{sent} bytes taken");
}
