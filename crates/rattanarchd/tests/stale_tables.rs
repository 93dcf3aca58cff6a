//! Daemons that know different records.

mod support;

use std::time::Duration;

use rattanarchd::version::Views;
use support::FakeUpstream;
use support::Reply;
use support::Rig;
use support::ask;
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
