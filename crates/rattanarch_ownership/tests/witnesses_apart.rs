//! Witnesses that last heard from their owner at different times.

mod members;
mod network;

use members::member;
use network::TICK;
use network::deliver;
use network::run;
use rattanarch_ownership::Event;
use rattanarch_ownership::Message;
use rattanarch_ownership::Node;
use rattanarch_ownership::Timing;
use rattanarch_placement::rendezvous_weight;
use rattanarch_types::BootId;
use rattanarch_types::Record;

const SLICES: u16 = 64;

/// Ticks after which four members have joined and have all their witnesses.
const SETTLED: u32 = 600;

/// The first of a lost owner's three witnesses to ask for a seal last heard from it a moment before the others, which
/// answer that it is alive. Those answers alone must not make witnesses regard it as alive again and again.
#[test]
fn owner_taken_over() {
    let timing = Timing::default();
    for owner in 1..=4 {
        let node = |id: BootId| Node::new(id, member(&format!("m{id}")), timing, id);
        let mut nodes: Vec<Node> = (1..=4).map(node).collect();
        let mut stored = Record::new("trade-desk", SLICES);
        run(&mut nodes, &mut stored, 1, SETTLED);
        assert_eq!(stored.members[&owner].witnesses.len(), 3, "{:?}", stored.members);
        nodes.retain(|node| node.me() != owner);
        let first = stored.members[&owner].witnesses.iter().copied();
        let first = first.max_by_key(|id| rendezvous_weight(owner, *id)).expect("three witnesses");
        // The others receive the owner's last request a tick later.
        let now = TICK * (SETTLED + 1);
        let (term, record) = (stored.members[&owner].term, stored.version);
        let message = Message::Renew { term, sent: now, record, load: 0 };
        let late = (0..nodes.len()).filter(|index| nodes[*index].me() != first);
        let late = late.map(|index| (index, Event::Message { from: owner, message })).collect();
        deliver(&mut nodes, &mut stored, now, late);
        let limit = timing.suspicion + timing.lease * 2;
        run(&mut nodes, &mut stored, SETTLED + 2, (limit.as_millis() / TICK.as_millis()) as u32);
        assert!(!stored.members.contains_key(&owner), "{owner} is still a member");
    }
}
