//! A release ends with the update that settles it.

mod members;
mod network;

use std::collections::BTreeMap;

use members::member;
use network::TICK;
use network::deliver;
use network::run;
use rattanarch_ownership::Event;
use rattanarch_ownership::Node;
use rattanarch_ownership::Timing;
use rattanarch_placement::Spread;
use rattanarch_types::BootId;
use rattanarch_types::Record;

const SLICES: u16 = 256;

/// A member releases slices to one that has just left, and the update assigns some of them back to the releasing member.
/// That ends the release: the member does not repeat the update.
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
    let moves: BTreeMap<_, _> = stored.slices_of(1).map(|slice| (slice, GONE)).collect();
    let released = moves.len();
    // The first window only confirms that the platform answers.
    for tick in [301, 302] {
        let moves = moves.clone();
        deliver(&mut nodes, &mut stored, TICK * tick, vec![(0, Event::ReleaseWindow { moves })]);
    }
    run(&mut nodes, &mut stored, 303, 200);
    let kept = stored.slices_of(1).count();
    assert!(0 < kept && kept < released, "{kept} of {released} slices stay with the member");
    assert!(stored.version <= before + 2, "{} updates", stored.version - before);
}
