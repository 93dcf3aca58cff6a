//! Connections to the upstream: closed while idle, gone silent, bounded.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use support::FakeUpstream;
use support::Reply;
use support::Rig;
use support::ask;

const SHORT: Duration = Duration::from_millis(500);

#[tokio::test]
async fn closed_idle() {
    let text = "HTTP/1.1 200 OK\r\nrattanarch-request: {id}\r\ncontent-length: 2\r\n\r\nok";
    let upstream = FakeUpstream::start(move |_, _| Reply::Raw(text.to_owned())).await;
    let rig = Rig::start(upstream.address, SHORT);
    for _ in 0..20 {
        let got = ask(rig.address, "POST", "/trade-desk/reserve/a").await;
        assert_eq!((got.status, got.verdict()), (200, "done"));
    }
    assert_eq!(upstream.asks().len(), 20);
}

#[tokio::test]
async fn silent_connections() {
    const OLD: usize = 4;
    // Enough answers to let OLD requests run at once.
    const WARM: usize = 40;
    // The first connections go mute after the first requests; later ones work.
    let last = Arc::new(AtomicUsize::new(0));
    let seen = Arc::clone(&last);
    let script = move |ask: &support::Ask, number| {
        if number >= WARM + OLD && ask.connection <= seen.load(Ordering::SeqCst) {
            return Reply::Mute;
        }
        if number < WARM + OLD {
            seen.fetch_max(ask.connection, Ordering::SeqCst);
        }
        match number {
            WARM.. if number < WARM + OLD => Reply::Late(SHORT / 5, 200, b"ok".to_vec()),
            _ => Reply::Answer(200, b"ok".to_vec()),
        }
    };
    let upstream = FakeUpstream::start(script).await;
    let rig = Rig::start(upstream.address, SHORT);
    for _ in 0..WARM {
        assert_eq!(ask(rig.address, "POST", "/trade-desk/reserve/a").await.status, 200);
    }
    let first = (0..OLD).map(|_| ask(rig.address, "POST", "/trade-desk/reserve/a"));
    for got in futures_util::future::join_all(first).await {
        assert_eq!(got.status, 200);
    }
    assert!(last.load(Ordering::SeqCst) >= 1, "only one connection goes mute");
    let mut failed = 0;
    for _ in 0..2 * OLD {
        let got = ask(rig.address, "POST", "/trade-desk/reserve/a").await;
        if got.status != 200 {
            assert_eq!((got.status, got.verdict()), (504, "may-have-run"));
            failed += 1;
            tokio::time::sleep(SHORT).await;
        }
    }
    assert_eq!(failed, 1);
    let asks = upstream.asks();
    let ids: BTreeSet<_> = asks.iter().filter_map(|a| a.field("rattanarch-request")).collect();
    assert_eq!(asks.len(), WARM + 3 * OLD);
    assert_eq!(ids.len(), asks.len());
}

#[tokio::test]
async fn reused_connection() {
    let upstream = FakeUpstream::start(|_, _| Reply::Answer(200, b"ok".to_vec())).await;
    let rig = Rig::start(upstream.address, SHORT);
    for _ in 0..10 {
        assert_eq!(ask(rig.address, "GET", "/trade-desk/stock/a").await.status, 200);
    }
    let used: BTreeSet<_> = upstream.asks().iter().map(|a| a.connection).collect();
    assert_eq!(used.len(), 1);
}

#[tokio::test]
async fn burst_of_callers() {
    const CALLERS: usize = 300;
    let upstream = FakeUpstream::start(|_, _| Reply::Answer(200, Vec::new())).await;
    let rig = Rig::start(upstream.address, SHORT);
    // Nothing is accepted meanwhile: this thread runs the server, and does not await.
    let connect = |_| std::net::TcpStream::connect_timeout(&rig.address, SHORT).ok();
    let connected: Vec<_> = (0..CALLERS).filter_map(connect).collect();
    assert_eq!(connected.len(), CALLERS);
}
