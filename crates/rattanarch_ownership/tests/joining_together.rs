//! Members that join a service with slices of different load at the same time.

mod members;
mod network;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use members::member;
use network::TICK;
use network::deliver;
use network::run;
use rattanarch_ownership::Event;
use rattanarch_ownership::Node;
use rattanarch_ownership::Rules;
use rattanarch_ownership::Timing;
use rattanarch_placement::MAX_WITNESSES;
use rattanarch_placement::Spread;
use rattanarch_types::BootId;
use rattanarch_types::Member;
use rattanarch_types::Record;

const SLICES: u16 = 256;

fn node(id: BootId, timing: Timing) -> Node {
    Node::new(id, member(&format!("m{id}")), timing, id).with_spread(Spread::ByLoad)
}

fn slice_count(record: &Record, id: BootId) -> usize {
    record.slices_of(id).count()
}

/// Once joins have settled, one update assigns slices to all members. No slice moves between members, which would
/// leave it unserved meanwhile.
#[test]
fn assigned_once() {
    let timing = Timing { join_spread: Duration::from_secs(1), ..Timing::default() };
    let mut nodes: Vec<Node> = (1..=12).map(|id| node(id, timing)).collect();
    let mut stored = Record::new("trade-desk", SLICES);
    let mut assignments = 0;
    for tick in 1..600 {
        let before = stored.owners.clone();
        run(&mut nodes, &mut stored, tick, 1);
        assignments += u32::from(stored.owners != before);
    }
    assert_eq!(assignments, 1);
    assert!((1..=12).all(|id| slice_count(&stored, id) > 0), "{:?}", stored.owners);
}

/// A service that starts with one member is served within 1 s, without waiting for further joins.
#[test]
fn alone_soon() {
    let mut nodes = [node(1, Timing::default())];
    let mut stored = Record::new("trade-desk", SLICES);
    run(&mut nodes, &mut stored, 1, 100);
    assert_eq!(slice_count(&stored, 1), usize::from(SLICES));
}

/// A member without slices gets some although another keeps writing: an update does not delay the turn of the member
/// that releases slices.
#[test]
fn turn_kept() {
    let mut nodes: Vec<Node> = (1..=3).map(|id| node(id, Timing::default())).collect();
    let mut stored = Record::new("trade-desk", SLICES);
    run(&mut nodes, &mut stored, 1, 300);
    let (idle, writer) = (3, 1);
    stored.owners = (0..SLICES).map(|slice| Some(1 + BootId::from(slice) % 2)).collect();
    let mut moved_at = None;
    for tick in (300..900).step_by(20) {
        // The writer moves a slice every 200 ms, so that every plan differs from the last.
        let slice = stored.slices_of(writer).next().expect("it owns many");
        stored.owners[usize::from(slice)] = Some(2);
        stored.version += 1;
        stored.write_id += 1;
        let now = TICK * tick;
        let read = || Event::Record { record: stored.clone(), read_sent: Some(now) };
        let events = (0..nodes.len()).map(|index| (index, read())).collect();
        deliver(&mut nodes, &mut stored, now, events);
        run(&mut nodes, &mut stored, tick, 20);
        if slice_count(&stored, idle) > 0 {
            moved_at = Some(tick);
            break;
        }
    }
    assert!(moved_at.is_some(), "the member owns no slices after 6 s of updates");
}

/// Members that joined while the service was small get their full number of witnesses before their only witness, if
/// partitioned from them, could suspect them, even while many members change witnesses.
#[test]
fn witnesses_soon() {
    let timing = Timing::default();
    for first in [1, 11, 21, 31, 41] {
        let mut nodes: Vec<Node> = (first..first + 8)
            .map(|id| Node::new(id, member(&format!("m{id}")), timing, id))
            .collect();
        let mut stored = Record::new("trade-desk", SLICES);
        let mut tick = 1;
        while stored.members.len() < nodes.len() {
            run(&mut nodes, &mut stored, tick, 1);
            tick += 1;
        }
        let ticks = (timing.suspicion.as_millis() / TICK.as_millis()) as u32;
        run(&mut nodes, &mut stored, tick, ticks);
        let few = |member: &&Member| member.witnesses.len() < MAX_WITNESSES;
        assert_eq!(stored.members.values().filter(few).count(), 0, "ids from {first}");
    }
}

/// After a restart of all processes the record names previous boots, which acknowledge nothing, and witnesses that have
/// just joined may not acknowledge yet. Members that join again one after the other get their leases as soon as enough
/// others have, without waiting for a heartbeat.
#[test]
fn leases_soon() {
    const COUNT: u64 = 8;
    const MAX_DELAY: Duration = Duration::from_millis(250);
    let rules = Rules { fence_first: false, ..Rules::default() };
    let timing = Timing { join_spread: Duration::from_secs(2), ..Timing::default() };
    let mut stored = Record::new("trade-desk", SLICES);
    stored.owners = (0..SLICES).map(|slice| Some(101 + BootId::from(slice) % COUNT)).collect();
    for id in 1..=COUNT {
        let old = Member { witnesses: vec![101 + id % COUNT], ..member(&format!("m{id}")) };
        stored.members.insert(100 + id, old);
    }
    stored.version = 9;
    // Each node starts with the first heartbeat of its upstream, 150 ms after the one before; its process has followed
    // the record before that.
    let initial: BTreeSet<BootId> = stored.members.keys().copied().collect();
    let node = |id| {
        let node = Node::new(id, member(&format!("m{id}")), timing, id);
        node.with_rules(rules).with_initial_members(initial.clone())
    };
    let start = |id: BootId| TICK * (15 * (id as u32 - 1) + 1);
    let mut nodes: Vec<Node> = Vec::new();
    let mut leased = BTreeMap::new();
    for tick in 1..300 {
        let next = nodes.len() as BootId + 1;
        if next <= COUNT && start(next) == TICK * tick {
            nodes.push(node(next));
        }
        run(&mut nodes, &mut stored, tick, 1);
        for node in &nodes {
            if node.serving().lease_end.is_some_and(|until| until > TICK * tick) {
                leased.entry(node.me()).or_insert(TICK * tick);
            }
        }
    }
    assert_eq!(leased.len(), COUNT as usize, "{leased:?}");
    // Once half of the members have joined, a majority of every member's witnesses is certain to be alive.
    let due = |id: BootId| start(id.max(COUNT / 2)) + MAX_DELAY;
    let late = leased.iter().filter(|(id, at)| **at > due(**id)).count();
    assert_eq!(late, 0, "{leased:?}");
}
