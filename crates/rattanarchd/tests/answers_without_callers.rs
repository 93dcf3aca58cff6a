//! Answers that come after their callers have gone.

#![allow(clippy::unwrap_used, reason = "as in test functions")]

mod support;

use std::time::Duration;

use support::FakeUpstream;
use support::Reply;
use support::Rig;
use support::ask_with;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const WORK: Duration = Duration::from_millis(300);

/// The answer of a reservation whose caller has gone is given to the caller that repeats it.
#[tokio::test]
async fn kept_for_repeat() {
    let upstream = FakeUpstream::start(|_, _| Reply::Late(WORK, 201, b"kept".to_vec())).await;
    let rig = Rig::start(upstream.address, WORK * 10);
    let mut caller = TcpStream::connect(rig.address).await.unwrap();
    let text = "POST /trade-desk/reserve/a HTTP/1.1\r\nhost: x\r\nidempotency-key: one\r\n\
                content-length: 5\r\n\r\ncrate";
    caller.write_all(text.as_bytes()).await.unwrap();
    while upstream.asks().is_empty() {
        tokio::time::sleep(WORK / 30).await;
    }
    drop(caller);
    tokio::time::sleep(WORK * 2).await;
    let fields = [("idempotency-key", "one")];
    let got = ask_with(rig.address, "POST", "/trade-desk/reserve/a", &fields, b"crate").await;
    assert_eq!((got.status, got.verdict(), got.body.as_deref()), (201, "done", Some(&b"kept"[..])));
    assert_eq!(upstream.asks().len(), 1);
}
