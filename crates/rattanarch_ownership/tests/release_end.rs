//! A release ends with the update that settles it.

mod members;
mod network;

use std::collections::BTreeMap;

use members::member;
use network::TICK;
use network::run;
use network::settle;
use rattanarch_ownership::Event;
use rattanarch_ownership::Node;
use rattanarch_ownership::Timing;
use rattanarch_placement::Spread;
use rattanarch_types::BootId;
use rattanarch_types::Record;

const SLICES: u16 = 256;

/// A busy member gives slices to one that has just left, and the update deals some of them back to itself. That is
/// the end of it: it does not write the same again and again.
#[test]
fn receiver_gone() {
    const GONE: BootId = 99;
    let node = |id: BootId| {
        let node = Node::new(id, member(&format!("m{id}")), Timing::default(), id);
        node.with_spread(Spread::ByLoad)
    };
    let mut nodes: Vec<Node> = (1..=3).map(node).collect();
    let mut stored = Record::new("trade-desk", SLICES);
    run(&mut nodes, &mut stored, 1, 300);
    let before = stored.version;
    let relief: BTreeMap<_, _> = stored.slices_of(1).map(|slice| (slice, GONE)).collect();
    let mine = relief.len();
    // The first makes sure of the platform.
    for tick in [301, 302] {
        let relief = relief.clone();
        settle(
            &mut nodes,
            &mut stored,
            TICK * tick,
            vec![(0, Event::ReleaseWindow { moves: relief })],
        );
    }
    run(&mut nodes, &mut stored, 303, 200);
    let kept = stored.slices_of(1).count();
    assert!(0 < kept && kept < mine, "{kept} of {mine} slices are dealt back");
    assert!(stored.version <= before + 2, "{} updates", stored.version - before);
}
