//! Requests run at the owner of their key only.
//!
//! Guards against running a request at another member, forwarding it twice, and running it after
//! the lease or the key's ownership ended.

mod support;

use std::time::Duration;

use support::FakeUpstream;
use support::Reply;
use support::TestDaemon;
use support::send_request;
use support::send_request_with;
use support::view_of;

const SECOND: Duration = Duration::from_secs(1);

async fn echo() -> FakeUpstream {
    FakeUpstream::start(|request, _| Reply::Respond(200, request.path.clone().into_bytes())).await
}

#[tokio::test]
async fn local_owner() {
    let upstream = echo().await;
    let daemon = TestDaemon::start(upstream.address, SECOND);
    let headers = [("rattanarch-request", "mine-1"), ("rattanarch-fence", "99")];
    let response =
        send_request_with(daemon.address, "GET", "/trade-desk/stock/tank-1?x=1", &headers, b"")
            .await;
    assert_eq!((response.status, response.verdict()), (200, "done"));
    assert_eq!(response.body.as_deref(), Some(&b"/stock/tank-1?x=1"[..]));
    assert_eq!(response.header("rattanarch-request"), Some("mine-1"));
    assert_eq!(response.header("rattanarch-owner"), Some(&*daemon.address.to_string()));
    let requests = upstream.requests();
    assert_eq!(requests[0].header("rattanarch-fence"), Some("7"));
    assert_eq!(requests[0].header("rattanarch-key"), Some("tank-1"));
}

#[tokio::test]
async fn forwarded_once() {
    let upstream = echo().await;
    let owner = TestDaemon::start(upstream.address, SECOND);
    let other = TestDaemon::start(upstream.address, SECOND);
    let members = [(1, owner.address), (2, other.address)];
    owner.views.publish(view_of(1, &members, 1, SECOND));
    other.views.publish(view_of(2, &members, 1, SECOND));
    let response =
        send_request_with(other.address, "POST", "/trade-desk/stock/tank-1", &[], b"one").await;
    assert_eq!((response.status, response.verdict()), (200, "done"));
    assert_eq!(response.header("rattanarch-owner"), Some(&*owner.address.to_string()));
    assert_eq!(upstream.requests().len(), 1);
    assert_eq!(upstream.requests()[0].body, b"one");
}

#[tokio::test]
async fn forwarding_loop() {
    let upstream = echo().await;
    let one = TestDaemon::start(upstream.address, SECOND);
    let two = TestDaemon::start(upstream.address, SECOND);
    let members = [(1, one.address), (2, two.address)];
    // In each record the other daemon is the owner.
    one.views.publish(view_of(1, &members, 2, SECOND));
    two.views.publish(view_of(2, &members, 1, SECOND));
    let response = send_request(one.address, "POST", "/trade-desk/stock/tank-1").await;
    assert_eq!((response.status, response.verdict()), (421, "not-run"));
    assert!(response.header("rattanarch-retry-ms").is_some());
    // The owner in the record of the daemon that refused.
    assert_eq!(response.header("rattanarch-owner"), Some(&*one.address.to_string()));
    assert_eq!(upstream.requests().len(), 0);
}

#[tokio::test]
async fn encoded_key() {
    let upstream = echo().await;
    let daemon = TestDaemon::start(upstream.address, SECOND);
    for path in ["/trade-desk/stock/tank-1", "/trade-desk/stock/t%61nk-1"] {
        assert_eq!(send_request(daemon.address, "GET", path).await.status, 200);
    }
    let requests = upstream.requests();
    assert!(requests.iter().all(|r| r.header("rattanarch-key") == Some("tank-1")));
    let counts = daemon.handler.load().take_rates(Duration::from_secs(1));
    assert_eq!(counts.keys[&rattanarch_types::hash_key("tank-1")], 2);
    assert_eq!(counts.slices.values().sum::<u32>(), 2);
}

#[tokio::test]
async fn lease_ended() {
    let upstream = echo().await;
    let daemon = TestDaemon::start(upstream.address, SECOND);
    daemon.update_view(|view| view.serving.lease_end = None);
    let response = send_request(daemon.address, "POST", "/trade-desk/stock/tank-1").await;
    assert_eq!((response.status, response.verdict()), (503, "not-run"));
    daemon.update_view(|view| view.grant = None);
    let response = send_request(daemon.address, "POST", "/trade-desk/stock/tank-1").await;
    assert_eq!((response.status, response.verdict()), (503, "not-run"));
    assert_eq!(upstream.requests().len(), 0);
}

#[tokio::test]
async fn moved_while_queued() {
    let upstream = FakeUpstream::start(|_, number| match number {
        0 => Reply::RespondAfter(SECOND / 20, 200, Vec::new()),
        _ => Reply::Respond(200, Vec::new()),
    })
    .await;
    let settings = rattanarchd::request::RequestSettings::default().with_slots(1);
    let daemon = TestDaemon::start_with_settings(settings, upstream.address, SECOND);
    let first = send_request(daemon.address, "POST", "/trade-desk/reserve/a");
    let second = async {
        tokio::time::sleep(SECOND / 50).await;
        let response = send_request(daemon.address, "POST", "/trade-desk/reserve/b");
        let release = async {
            tokio::time::sleep(SECOND / 100).await;
            daemon.update_view(|view| {
                view.serving.releasing = std::sync::Arc::new((0..8).collect());
            });
        };
        tokio::join!(response, release).0
    };
    let (first, second) = tokio::join!(first, second);
    assert_eq!(first.status, 200);
    assert_eq!((second.status, second.verdict()), (503, "not-run"));
    assert_eq!(upstream.requests().len(), 1);
}
