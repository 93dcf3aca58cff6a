//! Daemons with different records.
//!
//! Guards against a request that fails because the daemon that received it forwards to a former
//! owner, and against hints that are followed in circles or without limit.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use rattanarchd::version::Views;
use support::FakeUpstream;
use support::Reply;
use support::TestDaemon;
use support::send_request;
use support::send_request_with;
use support::view_of;

const SECOND: Duration = Duration::from_secs(1);

/// Starts a peer that refuses with 421. If `moves`, it first publishes a record with a new owner to
/// `views`, the views of the forwarding daemon.
async fn start_former_owner(views: Views, moves: bool) -> FakeUpstream {
    FakeUpstream::start(move |_, _| {
        if moves {
            let mut view = rattanarchd::version::View::clone(&views.current());
            let mut record = rattanarch_types::Record::clone(&view.serving.record);
            record.owners = vec![Some(3); 8];
            view.serving.record = std::sync::Arc::new(record);
            views.publish(view);
        }
        Reply::Refuse(421)
    })
    .await
}

/// Response to a request, and the numbers of requests at the former owner and the upstream.
async fn send_to_stale(moves: bool) -> (support::CallerResponse, usize, usize) {
    let upstream = FakeUpstream::start(|_, _| Reply::Respond(200, Vec::new())).await;
    let new = TestDaemon::start(upstream.address, SECOND);
    let ingress = TestDaemon::start(upstream.address, SECOND);
    let old = start_former_owner(ingress.views.clone(), moves).await;
    let members = [(1, old.address), (2, ingress.address), (3, new.address)];
    ingress.views.publish(view_of(2, &members, 1, SECOND));
    new.views.publish(view_of(3, &members, 3, SECOND));
    let response = send_request(ingress.address, "POST", "/trade-desk/reserve/a").await;
    (response, old.requests().len(), upstream.requests().len())
}

#[tokio::test]
async fn moved_owner() {
    let (response, old, new) = send_to_stale(true).await;
    assert_eq!((response.status, response.verdict()), (200, "done"));
    assert_eq!((old, new), (1, 1));
}

#[tokio::test]
async fn same_owner() {
    let (response, old, new) = send_to_stale(false).await;
    assert_eq!((response.status, response.verdict()), (421, "not-run"));
    assert_eq!((old, new), (1, 0));
}

/// Starts a peer that refuses with 421 and names `hint` as the owner.
async fn start_hinting(hint: SocketAddr) -> FakeUpstream {
    FakeUpstream::start(move |_, _| {
        Reply::RawThenClose(format!(
            "HTTP/1.1 421 X\r\nrattanarch-request: {{id}}\r\nrattanarch-verdict: not-run\r\n\
             rattanarch-owner: {hint}\r\ncontent-length: 0\r\n\r\n"
        ))
    })
    .await
}

/// Starts the daemon that receives the request, with a record of a former owner, and the new owner.
fn start_pair(upstream: &FakeUpstream) -> [TestDaemon; 2] {
    [TestDaemon::start(upstream.address, SECOND), TestDaemon::start(upstream.address, SECOND)]
}

#[tokio::test]
async fn hinted_owner() {
    let upstream = FakeUpstream::start(|_, _| Reply::Respond(200, Vec::new())).await;
    let [ingress, new] = start_pair(&upstream);
    let old = start_hinting(new.address).await;
    let members = [(1, old.address), (2, ingress.address), (3, new.address)];
    ingress.views.publish(view_of(2, &members, 1, SECOND));
    new.views.publish(view_of(3, &members, 3, SECOND));
    let response = send_request(ingress.address, "POST", "/trade-desk/reserve/a").await;
    assert_eq!((response.status, response.verdict()), (200, "done"));
    assert_eq!(response.header("rattanarch-owner"), Some(new.address.to_string().as_str()));
    assert_eq!((old.requests().len(), upstream.requests().len()), (1, 1));
    // A streamed body is no longer available for a second attempt.
    let body = vec![7; 32 * 1024];
    let response =
        send_request_with(ingress.address, "POST", "/trade-desk/reserve/a", &[], &body).await;
    assert_eq!((response.status, response.verdict()), (421, "not-run"));
    assert_eq!((old.requests().len(), upstream.requests().len()), (2, 1));
}

#[tokio::test]
async fn daemon_hint() {
    let upstream = FakeUpstream::start(|_, _| Reply::Respond(200, Vec::new())).await;
    let [ingress, new] = start_pair(&upstream);
    let old = TestDaemon::start(upstream.address, SECOND);
    let members = [(1, old.address), (2, ingress.address), (3, new.address)];
    ingress.views.publish(view_of(2, &members, 1, SECOND));
    for (me, daemon) in [(1, &old), (3, &new)] {
        daemon.views.publish(view_of(me, &members, 3, SECOND));
    }
    let response = send_request(ingress.address, "POST", "/trade-desk/reserve/a").await;
    assert_eq!((response.status, response.verdict()), (200, "done"));
    assert_eq!(upstream.requests().len(), 1);
}

#[tokio::test]
async fn circular_hints() {
    let upstream = FakeUpstream::start(|_, _| Reply::Respond(200, Vec::new())).await;
    let [ingress, other] = start_pair(&upstream);
    let far = start_hinting(ingress.address).await;
    let old = start_hinting(far.address).await;
    let members = [(1, old.address), (2, ingress.address), (3, far.address), (4, other.address)];
    ingress.views.publish(view_of(2, &members, 1, SECOND));
    let response = send_request(ingress.address, "POST", "/trade-desk/reserve/a").await;
    assert_eq!((response.status, response.verdict()), (421, "not-run"));
    assert_eq!((old.requests().len(), far.requests().len(), upstream.requests().len()), (1, 1, 0));
}

#[tokio::test]
async fn unknown_member() {
    let upstream = FakeUpstream::start(|_, _| Reply::Respond(200, Vec::new())).await;
    let [ingress, new] = start_pair(&upstream);
    let old = start_hinting(new.address).await;
    // The record does not contain the new owner yet.
    ingress.views.publish(view_of(2, &[(1, old.address), (2, ingress.address)], 1, SECOND));
    let members = [(1, old.address), (2, ingress.address), (3, new.address)];
    new.views.publish(view_of(3, &members, 3, SECOND));
    let request = send_request(ingress.address, "POST", "/trade-desk/reserve/a");
    let update = async {
        while old.requests().is_empty() {
            tokio::task::yield_now().await;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
        ingress.views.publish(view_of(2, &members, 3, SECOND));
    };
    let (response, ()) = tokio::join!(request, update);
    assert_eq!((response.status, response.verdict()), (200, "done"));
    assert_eq!((old.requests().len(), upstream.requests().len()), (1, 1));
}

#[tokio::test]
async fn no_hint() {
    let (response, _, _) = send_to_stale(false).await;
    // The member that refused must not be reported as the owner.
    assert_eq!(response.header("rattanarch-owner"), None);
}

#[tokio::test]
async fn hint_budget() {
    const CALLS: usize = 100;
    let upstream = FakeUpstream::start(|_, _| Reply::Respond(200, Vec::new())).await;
    let [ingress, new] = start_pair(&upstream);
    let old = start_hinting(new.address).await;
    let members = [(1, old.address), (2, ingress.address), (3, new.address)];
    ingress.views.publish(view_of(2, &members, 1, SECOND));
    new.views.publish(view_of(3, &members, 3, SECOND));
    for _ in 0..CALLS {
        send_request(ingress.address, "POST", "/trade-desk/reserve/a").await;
    }
    // A burst of 10, and a tenth of the requests.
    let most = 10 + CALLS / 10;
    let followed = upstream.requests().len();
    assert!((10..=most).contains(&followed), "{followed} hints followed");
}
