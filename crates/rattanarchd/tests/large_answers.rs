//! Large answers are streamed in bounded memory.

#![allow(clippy::unwrap_used, reason = "as in test functions")]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rattanarchd::request::RequestSettings;
use support::Rig;
use support::ask;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const SIZE: usize = 64 * 1024 * 1024;
const CHUNK: usize = 64 * 1024;
const SHORT: Duration = Duration::from_millis(300);

/// An upstream that answers one request with `SIZE` bytes and counts what it could send.
async fn large_upstream() -> (SocketAddr, Arc<AtomicUsize>) {
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
            "HTTP/1.1 200 OK\r\nrattanarch-request: {id}\r\ncontent-length: {SIZE}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        for number in 0..SIZE / CHUNK {
            let chunk = vec![number as u8; CHUNK];
            if stream.write_all(&chunk).await.is_err() {
                return;
            }
            counted.fetch_add(CHUNK, Ordering::Relaxed);
        }
    });
    (address, sent)
}

#[tokio::test]
async fn whole_answer() {
    let (upstream, _) = large_upstream().await;
    let rig = Rig::start(upstream, SHORT);
    let body = ask(rig.address, "GET", "/trade-desk/maps/a").await.body.unwrap();
    assert_eq!(body.len(), SIZE);
    assert!(body.chunks(CHUNK).enumerate().all(|(n, c)| c.iter().all(|b| *b == n as u8)));
}

#[tokio::test]
async fn slow_reader() {
    let (upstream, sent) = large_upstream().await;
    let settings = RequestSettings::default().with_body_timeout(SHORT);
    let rig = Rig::with(settings, upstream, SHORT);
    let mut caller = TcpStream::connect(rig.address).await.unwrap();
    let ask = b"GET /trade-desk/maps/a HTTP/1.1\r\nhost: x\r\n\r\n";
    caller.write_all(ask).await.unwrap();
    while sent.load(Ordering::Relaxed) == 0 {
        tokio::time::sleep(SHORT / 100).await;
    }
    // Reads nothing: what the upstream can send is bounded by the buffers of the kernel, and the
    // connection is given up.
    tokio::time::timeout(SHORT * 20, rig.path.running().idle()).await.unwrap();
    tokio::time::sleep(SHORT * 3).await;
    assert_eq!(rig.path.running().count(), 0);
    assert!(sent.load(Ordering::Relaxed) < SIZE / 2);
    let mut got = Vec::new();
    let _ = caller.read_to_end(&mut got).await;
    assert!(got.len() < SIZE / 2);
}
