//! Daemons that know different records.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use rattanarchd::version::Views;
use support::FakeUpstream;
use support::Reply;
use support::Rig;
use support::ask;
use support::ask_with;
use support::view_of;

const SECOND: Duration = Duration::from_secs(1);

/// A peer that refuses with 421 and, if `moves`, lets the asking daemon learn the new owner first.
async fn stale_owner(views: Views, moves: bool) -> FakeUpstream {
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

async fn run(moves: bool) -> (support::Got, usize, usize) {
    let upstream = FakeUpstream::start(|_, _| Reply::Answer(200, Vec::new())).await;
    let new = Rig::start(upstream.address, SECOND);
    let asked = Rig::start(upstream.address, SECOND);
    let old = stale_owner(asked.views.clone(), moves).await;
    let members = [(1, old.address), (2, asked.address), (3, new.address)];
    asked.views.publish(view_of(2, &members, 1, SECOND));
    new.views.publish(view_of(3, &members, 3, SECOND));
    let got = ask(asked.address, "POST", "/trade-desk/reserve/a").await;
    (got, old.asks().len(), upstream.asks().len())
}

#[tokio::test]
async fn moved_owner() {
    let (got, old, new) = run(true).await;
    assert_eq!((got.status, got.verdict()), (200, "done"));
    assert_eq!((old, new), (1, 1));
}

#[tokio::test]
async fn same_owner() {
    let (got, old, new) = run(false).await;
    assert_eq!((got.status, got.verdict()), (421, "not-run"));
    assert_eq!((old, new), (1, 0));
}

/// A peer that refuses with 421 and names `hint` as the owner.
async fn naming(hint: SocketAddr) -> FakeUpstream {
    FakeUpstream::start(move |_, _| {
        Reply::Raw(format!(
            "HTTP/1.1 421 X\r\nrattanarch-request: {{id}}\r\nrattanarch-verdict: not-run\r\n\
             rattanarch-owner: {hint}\r\ncontent-length: 0\r\n\r\n"
        ))
    })
    .await
}

/// The asked daemon, whose table names a member that is not the owner any more, and the new owner.
fn asked_and_new(upstream: &FakeUpstream) -> [Rig; 2] {
    [Rig::start(upstream.address, SECOND), Rig::start(upstream.address, SECOND)]
}

#[tokio::test]
async fn hinted_owner() {
    let upstream = FakeUpstream::start(|_, _| Reply::Answer(200, Vec::new())).await;
    let [asked, new] = asked_and_new(&upstream);
    let old = naming(new.address).await;
    let members = [(1, old.address), (2, asked.address), (3, new.address)];
    asked.views.publish(view_of(2, &members, 1, SECOND));
    new.views.publish(view_of(3, &members, 3, SECOND));
    let got = ask(asked.address, "POST", "/trade-desk/reserve/a").await;
    assert_eq!((got.status, got.verdict()), (200, "done"));
    assert_eq!(got.field("rattanarch-owner"), Some(new.address.to_string().as_str()));
    assert_eq!((old.asks().len(), upstream.asks().len()), (1, 1));
    // A body that was streamed is gone.
    let body = vec![7; 32 * 1024];
    let got = ask_with(asked.address, "POST", "/trade-desk/reserve/a", &[], &body).await;
    assert_eq!((got.status, got.verdict()), (421, "not-run"));
    assert_eq!((old.asks().len(), upstream.asks().len()), (2, 1));
}

#[tokio::test]
async fn own_hint() {
    let upstream = FakeUpstream::start(|_, _| Reply::Answer(200, Vec::new())).await;
    let [asked, new] = asked_and_new(&upstream);
    let old = Rig::start(upstream.address, SECOND);
    let members = [(1, old.address), (2, asked.address), (3, new.address)];
    asked.views.publish(view_of(2, &members, 1, SECOND));
    for (me, rig) in [(1, &old), (3, &new)] {
        rig.views.publish(view_of(me, &members, 3, SECOND));
    }
    let got = ask(asked.address, "POST", "/trade-desk/reserve/a").await;
    assert_eq!((got.status, got.verdict()), (200, "done"));
    assert_eq!(upstream.asks().len(), 1);
}

#[tokio::test]
async fn circular_hints() {
    let upstream = FakeUpstream::start(|_, _| Reply::Answer(200, Vec::new())).await;
    let [asked, other] = asked_and_new(&upstream);
    let far = naming(asked.address).await;
    let old = naming(far.address).await;
    let members = [(1, old.address), (2, asked.address), (3, far.address), (4, other.address)];
    asked.views.publish(view_of(2, &members, 1, SECOND));
    let got = ask(asked.address, "POST", "/trade-desk/reserve/a").await;
    assert_eq!((got.status, got.verdict()), (421, "not-run"));
    assert_eq!((old.asks().len(), far.asks().len(), upstream.asks().len()), (1, 1, 0));
}

#[tokio::test]
async fn unknown_hint() {
    let upstream = FakeUpstream::start(|_, _| Reply::Answer(200, Vec::new())).await;
    let [asked, new] = asked_and_new(&upstream);
    let old = naming(new.address).await;
    // The new owner has just joined.
    asked.views.publish(view_of(2, &[(1, old.address), (2, asked.address)], 1, SECOND));
    let members = [(1, old.address), (2, asked.address), (3, new.address)];
    new.views.publish(view_of(3, &members, 3, SECOND));
    let asking = ask(asked.address, "POST", "/trade-desk/reserve/a");
    let learning = async {
        while old.asks().is_empty() {
            tokio::task::yield_now().await;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
        asked.views.publish(view_of(2, &members, 3, SECOND));
    };
    let (got, ()) = tokio::join!(asking, learning);
    assert_eq!((got.status, got.verdict()), (200, "done"));
    assert_eq!((old.asks().len(), upstream.asks().len()), (1, 1));
}

#[tokio::test]
async fn no_hint() {
    let (got, _, _) = run(false).await;
    // Who refused is not whom to ask next time.
    assert_eq!(got.field("rattanarch-owner"), None);
}

#[tokio::test]
async fn hint_budget() {
    const CALLS: usize = 100;
    let upstream = FakeUpstream::start(|_, _| Reply::Answer(200, Vec::new())).await;
    let [asked, new] = asked_and_new(&upstream);
    let old = naming(new.address).await;
    let members = [(1, old.address), (2, asked.address), (3, new.address)];
    asked.views.publish(view_of(2, &members, 1, SECOND));
    new.views.publish(view_of(3, &members, 3, SECOND));
    for _ in 0..CALLS {
        ask(asked.address, "POST", "/trade-desk/reserve/a").await;
    }
    // A full bucket, and a tenth of the requests.
    let most = 10 + CALLS / 10;
    let followed = upstream.asks().len();
    assert!((10..=most).contains(&followed), "{followed} hints followed");
}
