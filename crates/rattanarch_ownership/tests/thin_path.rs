//! Smoke test: one node joins and serves, and two nodes join through a shared record.

mod members;
mod network;

use std::time::Duration;

use members::member;
use network::run;
use rattanarch_ownership::Node;
use rattanarch_ownership::Timing;
use rattanarch_types::Record;

const SLICES: u16 = 8;

#[test]
fn alone_serves() {
    let mut nodes = [Node::new(1, member("a"), Timing::default(), 1)];
    let mut stored = Record::new("trade-desk", SLICES);
    run(&mut nodes, &mut stored, 1, 100);
    assert_eq!(stored.owners, vec![Some(1); usize::from(SLICES)]);
    assert_eq!(nodes[0].serving().check(Duration::from_secs(1), 0), Ok(()));
}

#[test]
fn pair_joins() {
    let mut nodes = ["a", "b"].map(|name| {
        let id = u64::from(name.as_bytes()[0]);
        Node::new(id, member(name), Timing::default(), id)
    });
    let mut stored = Record::new("trade-desk", SLICES);
    run(&mut nodes, &mut stored, 1, 100);
    assert_eq!(stored.members.len(), 2);
    assert_eq!(stored.check(), Ok(()));
}
