//! Requests are answered by the owner of their key.

mod support;

use std::time::Duration;

use support::FakeUpstream;
use support::Reply;
use support::Rig;
use support::ask;
use support::ask_with;
use support::view_of;

const SECOND: Duration = Duration::from_secs(1);

async fn echo() -> FakeUpstream {
    FakeUpstream::start(|ask, _| Reply::Answer(200, ask.path.clone().into_bytes())).await
}

#[tokio::test]
async fn local_owner() {
    let upstream = echo().await;
    let rig = Rig::start(upstream.address, SECOND);
    let fields = [("rattanarch-request", "mine-1"), ("rattanarch-fence", "99")];
    let got = ask_with(rig.address, "GET", "/trade-desk/stock/tank-1?x=1", &fields, b"").await;
    assert_eq!((got.status, got.verdict()), (200, "done"));
    assert_eq!(got.body.as_deref(), Some(&b"/stock/tank-1?x=1"[..]));
    assert_eq!(got.field("rattanarch-request"), Some("mine-1"));
    assert_eq!(got.field("rattanarch-owner"), Some(&*rig.address.to_string()));
    let asks = upstream.asks();
    assert_eq!(asks[0].field("rattanarch-fence"), Some("7"));
    assert_eq!(asks[0].field("rattanarch-key"), Some("tank-1"));
}

#[tokio::test]
async fn forwarded_once() {
    let upstream = echo().await;
    let owner = Rig::start(upstream.address, SECOND);
    let other = Rig::start(upstream.address, SECOND);
    let members = [(1, owner.address), (2, other.address)];
    owner.views.publish(view_of(1, &members, 1, SECOND));
    other.views.publish(view_of(2, &members, 1, SECOND));
    let got = ask_with(other.address, "POST", "/trade-desk/stock/tank-1", &[], b"one").await;
    assert_eq!((got.status, got.verdict()), (200, "done"));
    assert_eq!(got.field("rattanarch-owner"), Some(&*owner.address.to_string()));
    assert_eq!(upstream.asks().len(), 1);
    assert_eq!(upstream.asks()[0].body, b"one");
}

#[tokio::test]
async fn forwarding_loop() {
    let upstream = echo().await;
    let one = Rig::start(upstream.address, SECOND);
    let two = Rig::start(upstream.address, SECOND);
    let members = [(1, one.address), (2, two.address)];
    // Each takes the other for the owner.
    one.views.publish(view_of(1, &members, 2, SECOND));
    two.views.publish(view_of(2, &members, 1, SECOND));
    let got = ask(one.address, "POST", "/trade-desk/stock/tank-1").await;
    assert_eq!((got.status, got.verdict()), (421, "not-run"));
    assert!(got.field("rattanarch-retry-ms").is_some());
    // The owner that the refusing daemon knows.
    assert_eq!(got.field("rattanarch-owner"), Some(&*one.address.to_string()));
    assert_eq!(upstream.asks().len(), 0);
}

#[tokio::test]
async fn encoded_key() {
    let upstream = echo().await;
    let rig = Rig::start(upstream.address, SECOND);
    for path in ["/trade-desk/stock/tank-1", "/trade-desk/stock/t%61nk-1"] {
        assert_eq!(ask(rig.address, "GET", path).await.status, 200);
    }
    let asks = upstream.asks();
    assert!(asks.iter().all(|a| a.field("rattanarch-key") == Some("tank-1")));
    let counts = rig.path.load().take_rates(Duration::from_secs(1));
    assert_eq!(counts.keys[&rattanarch_types::hash_key("tank-1")], 2);
    assert_eq!(counts.slices.values().sum::<u32>(), 2);
}

#[tokio::test]
async fn lease_ended() {
    let upstream = echo().await;
    let rig = Rig::start(upstream.address, SECOND);
    rig.change(|view| view.serving.lease_end = None);
    let got = ask(rig.address, "POST", "/trade-desk/stock/tank-1").await;
    assert_eq!((got.status, got.verdict()), (503, "not-run"));
    rig.change(|view| view.grant = None);
    let got = ask(rig.address, "POST", "/trade-desk/stock/tank-1").await;
    assert_eq!((got.status, got.verdict()), (503, "not-run"));
    assert_eq!(upstream.asks().len(), 0);
}

#[tokio::test]
async fn moved_while_queued() {
    let upstream = FakeUpstream::start(|_, number| match number {
        0 => Reply::Late(SECOND / 20, 200, Vec::new()),
        _ => Reply::Answer(200, Vec::new()),
    })
    .await;
    let settings = rattanarchd::request::RequestSettings::default().with_slots(1);
    let rig = Rig::with(settings, upstream.address, SECOND);
    let first = ask(rig.address, "POST", "/trade-desk/reserve/a");
    let second = async {
        tokio::time::sleep(SECOND / 50).await;
        let got = ask(rig.address, "POST", "/trade-desk/reserve/b");
        let hold = async {
            tokio::time::sleep(SECOND / 100).await;
            rig.change(|view| view.serving.releasing = std::sync::Arc::new((0..8).collect()));
        };
        tokio::join!(got, hold).0
    };
    let (first, second) = tokio::join!(first, second);
    assert_eq!(first.status, 200);
    assert_eq!((second.status, second.verdict()), (503, "not-run"));
    assert_eq!(upstream.asks().len(), 1);
}
