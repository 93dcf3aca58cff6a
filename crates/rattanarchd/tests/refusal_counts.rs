//! Counts of refusals by reason.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use support::FakeUpstream;
use support::Reply;
use support::Rig;
use support::ask;
use support::ask_with;
use support::view_of;

const SECOND: Duration = Duration::from_secs(1);

fn counts(expected: &[(&str, u64)]) -> BTreeMap<String, u64> {
    expected.iter().map(|(reason, count)| ((*reason).to_owned(), *count)).collect()
}

#[tokio::test]
async fn each_reason() {
    let upstream = FakeUpstream::start(|ask, _| match ask.path.as_str() {
        "/stock/refused" => Reply::Refuse(503),
        "/stock/crossed" => Reply::Crossed,
        "/stock/mute" => Reply::Mute,
        _ => Reply::Answer(200, Vec::new()),
    })
    .await;
    let rig = Rig::start(upstream.address, SECOND);
    assert_eq!(rig.path.refusals(), counts(&[]));
    for path in ["/trade-desk/stock/a", "/trade-desk/stock/refused", "/other/stock/a"] {
        ask(rig.address, "POST", path).await;
    }
    ask(rig.address, "POST", "/trade-desk/stock/crossed").await;
    ask(rig.address, "POST", "/trade-desk/stock").await;
    let soon = [("rattanarch-deadline-ms", "50")];
    ask_with(rig.address, "POST", "/trade-desk/stock/mute", &soon, b"").await;
    let bad = [("rattanarch-deadline-ms", "soon")];
    ask_with(rig.address, "POST", "/trade-desk/stock/a", &bad, b"").await;
    rig.change(|view| view.grant = None);
    ask(rig.address, "POST", "/trade-desk/stock/a").await;
    rig.change(|view| view.serving.lease_end = None);
    ask(rig.address, "POST", "/trade-desk/stock/a").await;
    ask(rig.address, "POST", "/trade-desk/stock/a").await;
    let expected = [
        ("crossed", 1),
        ("deadline-malformed", 1),
        ("key-missing", 1),
        ("lease-ended", 2),
        ("no-grant", 1),
        ("service-unknown", 1),
        ("timed-out", 1),
        ("upstream-refused", 1),
    ];
    assert_eq!(rig.path.refusals(), counts(&expected));
}

#[tokio::test]
async fn refused_once() {
    let upstream = FakeUpstream::start(|_, _| Reply::Refuse(503)).await;
    let asked = Rig::start(upstream.address, SECOND);
    let owner = Rig::start(upstream.address, SECOND);
    let members = [(1, owner.address), (2, asked.address)];
    asked.views.publish(view_of(2, &members, 1, SECOND));
    owner.views.publish(view_of(1, &members, 1, SECOND));
    ask(asked.address, "POST", "/trade-desk/reserve/a").await;
    // Counted where it was refused, not where the answer went through.
    assert_eq!(owner.path.refusals(), counts(&[("upstream-refused", 1)]));
    assert_eq!(asked.path.refusals(), counts(&[]));
}
