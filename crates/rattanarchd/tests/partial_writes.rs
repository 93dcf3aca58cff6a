//! Requests of which only a part had left when something happened.

#![allow(clippy::unwrap_used, reason = "as in test functions")]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use support::Rig;
use support::ask_with;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const SECOND: Duration = Duration::from_secs(1);
/// Larger than what is read before it is sent on, and than the buffers of sockets.
const LARGE: usize = 16 * 1024 * 1024;

/// An upstream that answers once it has read a head, whatever of the body has come, then reads on
/// if `reads`. Counts the connections with a request, and the bytes.
async fn hasty(answer: &'static str, reads: bool) -> (SocketAddr, Arc<[AtomicUsize; 2]>) {
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
            let _ = stream.write_all(answer.replace("{id}", id.unwrap()).as_bytes()).await;
            if !reads {
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
    let (upstream, counts) = hasty(refusal, true).await;
    let rig = Rig::start(upstream, SECOND * 5);
    let body = vec![0; LARGE];
    let got = ask_with(rig.address, "PUT", "/trade-desk/reserve/a", &[], &body).await;
    assert_eq!((got.status, got.verdict()), (503, "not-run"));
    assert_eq!(counts[0].load(Ordering::SeqCst), 1);
    assert_eq!(rig.path.running().unresolved(), []);
}

#[tokio::test]
async fn closed_midway() {
    let (upstream, counts) = hasty("", false).await;
    let rig = Rig::start(upstream, SECOND * 5);
    let body = vec![0; LARGE];
    let got = ask_with(rig.address, "PUT", "/trade-desk/reserve/a", &[], &body).await;
    // Idempotent, but its body is gone: no second attempt, and no claim that it did not run.
    assert_eq!((got.status, got.verdict()), (502, "may-have-run"));
    assert_eq!(counts[0].load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn caller_cut_midway() {
    let (upstream, counts) = hasty("", true).await;
    let rig = Rig::start(upstream, SECOND * 5);
    let mut caller = TcpStream::connect(rig.address).await.unwrap();
    let head = format!(
        "POST /trade-desk/reserve/a HTTP/1.1\r\nhost: x\r\ncontent-length: {LARGE}\r\n\r\n"
    );
    caller.write_all(head.as_bytes()).await.unwrap();
    caller.write_all(&vec![0; LARGE / 4]).await.unwrap();
    while counts[1].load(Ordering::SeqCst) < LARGE / 8 {
        tokio::time::sleep(SECOND / 100).await;
    }
    drop(caller);
    tokio::time::sleep(SECOND / 2).await;
    // The upstream sees a cut body, and what it does with that is unknown.
    assert!(counts[1].load(Ordering::SeqCst) < LARGE / 2);
    assert_eq!(rig.path.running().unresolved().len(), 1);
}
