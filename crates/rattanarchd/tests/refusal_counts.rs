//! Refusals are counted by reason.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use support::FakeUpstream;
use support::Reply;
use support::TestDaemon;
use support::send_request;
use support::send_request_with;
use support::view_of;

const SECOND: Duration = Duration::from_secs(1);

fn counts(expected: &[(&str, u64)]) -> BTreeMap<String, u64> {
    expected.iter().map(|(reason, count)| ((*reason).to_owned(), *count)).collect()
}

#[tokio::test]
async fn each_reason() {
    let upstream = FakeUpstream::start(|request, _| match request.path.as_str() {
        "/stock/refused" => Reply::Refuse(503),
        "/stock/crossed" => Reply::WrongId,
        "/stock/mute" => Reply::Hang,
        _ => Reply::Respond(200, Vec::new()),
    })
    .await;
    let daemon = TestDaemon::start(upstream.address, SECOND);
    assert_eq!(daemon.handler.error_counts(), counts(&[]));
    for path in ["/trade-desk/stock/a", "/trade-desk/stock/refused", "/other/stock/a"] {
        send_request(daemon.address, "POST", path).await;
    }
    send_request(daemon.address, "POST", "/trade-desk/stock/crossed").await;
    send_request(daemon.address, "POST", "/trade-desk/stock").await;
    let soon = [("rattanarch-deadline-ms", "50")];
    send_request_with(daemon.address, "POST", "/trade-desk/stock/mute", &soon, b"").await;
    let bad = [("rattanarch-deadline-ms", "soon")];
    send_request_with(daemon.address, "POST", "/trade-desk/stock/a", &bad, b"").await;
    daemon.update_view(|view| view.grant = None);
    send_request(daemon.address, "POST", "/trade-desk/stock/a").await;
    daemon.update_view(|view| view.serving.lease_end = None);
    send_request(daemon.address, "POST", "/trade-desk/stock/a").await;
    send_request(daemon.address, "POST", "/trade-desk/stock/a").await;
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
    assert_eq!(daemon.handler.error_counts(), counts(&expected));
}

#[tokio::test]
async fn counted_once() {
    let upstream = FakeUpstream::start(|_, _| Reply::Refuse(503)).await;
    let ingress = TestDaemon::start(upstream.address, SECOND);
    let owner = TestDaemon::start(upstream.address, SECOND);
    let members = [(1, owner.address), (2, ingress.address)];
    ingress.views.publish(view_of(2, &members, 1, SECOND));
    owner.views.publish(view_of(1, &members, 1, SECOND));
    send_request(ingress.address, "POST", "/trade-desk/reserve/a").await;
    // Counted at the daemon that refused, not at the daemon that forwarded the refusal.
    assert_eq!(owner.handler.error_counts(), counts(&[("upstream-refused", 1)]));
    assert_eq!(ingress.handler.error_counts(), counts(&[]));
}
