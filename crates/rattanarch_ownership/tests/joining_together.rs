//! Members that join a service with slices of different load at the same time.

mod members;
mod network;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use members::member;
use network::TICK;
use network::run;
use network::settle;
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

fn share(record: &Record, id: BootId) -> usize {
    record.slices_of(id).count()
}

/// All get their part in one update once joins have settled: none is given slices that another has
/// held, which would leave those unserved while they move.
#[test]
fn dealt_once() {
    let timing = Timing { join_spread: Duration::from_secs(1), ..Timing::default() };
    let mut nodes: Vec<Node> = (1..=12).map(|id| node(id, timing)).collect();
    let mut stored = Record::new("trade-desk", SLICES);
    let mut deals = 0;
    for tick in 1..600 {
        let before = stored.owners.clone();
        run(&mut nodes, &mut stored, tick, 1);
        deals += u32::from(stored.owners != before);
    }
    assert_eq!(deals, 1);
    assert!((1..=12).all(|id| share(&stored, id) > 0), "{:?}", stored.owners);
}

/// A service that starts with one member is served before joins could have settled for long.
#[test]
fn alone_soon() {
    let mut nodes = [node(1, Timing::default())];
    let mut stored = Record::new("trade-desk", SLICES);
    run(&mut nodes, &mut stored, 1, 100);
    assert_eq!(share(&stored, 1), usize::from(SLICES));
}

/// A member without slices gets some though another keeps writing: the turn of the one that gives is
/// not put off by each update.
#[test]
fn turn_kept() {
    let mut nodes: Vec<Node> = (1..=3).map(|id| node(id, Timing::default())).collect();
    let mut stored = Record::new("trade-desk", SLICES);
    run(&mut nodes, &mut stored, 1, 300);
    let (poor, writer) = (3, 1);
    stored.owners = (0..SLICES).map(|slice| Some(1 + BootId::from(slice) % 2)).collect();
    let mut given = None;
    for tick in (300..900).step_by(20) {
        // The writer moves a slice each fifth of a second, so that every plan differs from the last.
        let slice = stored.slices_of(writer).next().expect("it owns many");
        stored.owners[usize::from(slice)] = Some(2);
        stored.version += 1;
        stored.write_id += 1;
        let now = TICK * tick;
        let read = || Event::Record { record: stored.clone(), read_sent: Some(now) };
        let events = (0..nodes.len()).map(|index| (index, read())).collect();
        settle(&mut nodes, &mut stored, now, events);
        run(&mut nodes, &mut stored, tick, 20);
        if share(&stored, poor) > 0 {
            given = Some(tick);
            break;
        }
    }
    assert!(given.is_some(), "after 6 s of updates it owns nothing");
}

/// Members that joined while the service was small get their full number of witnesses before a lone
/// one that is cut off could take them for lost, however many others write theirs.
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

/// After a loss of everything the record names old lives, which acknowledge nothing, and witnesses that have
/// just joined are not in standing yet. Members that join again one after the other hold their leases
/// as soon as enough have, and none waits for a heartbeat.
#[test]
fn leases_soon() {
    const COUNT: u64 = 8;
    const PATIENCE: Duration = Duration::from_millis(250);
    let rules = Rules { fence_first: false, ..Rules::default() };
    let timing = Timing { join_spread: Duration::from_secs(2), ..Timing::default() };
    let mut stored = Record::new("trade-desk", SLICES);
    stored.owners = (0..SLICES).map(|slice| Some(101 + BootId::from(slice) % COUNT)).collect();
    for id in 1..=COUNT {
        let old = Member { witnesses: vec![101 + id % COUNT], ..member(&format!("m{id}")) };
        stored.members.insert(100 + id, old);
    }
    stored.version = 9;
    // Each starts with the first heartbeat of its upstream, 150 ms after the one before; its process has followed
    // the record before that.
    let elders: BTreeSet<BootId> = stored.members.keys().copied().collect();
    let node = |id| {
        let node = Node::new(id, member(&format!("m{id}")), timing, id);
        node.with_rules(rules).with_initial_members(elders.clone())
    };
    let start = |id: BootId| TICK * (15 * (id as u32 - 1) + 1);
    let mut nodes: Vec<Node> = Vec::new();
    let mut held = BTreeMap::new();
    for tick in 1..300 {
        let next = nodes.len() as BootId + 1;
        if next <= COUNT && start(next) == TICK * tick {
            nodes.push(node(next));
        }
        run(&mut nodes, &mut stored, tick, 1);
        for node in &nodes {
            if node.serving().lease_end.is_some_and(|until| until > TICK * tick) {
                held.entry(node.me()).or_insert(TICK * tick);
            }
        }
    }
    assert_eq!(held.len(), COUNT as usize, "{held:?}");
    // Half of the members are needed before a majority of anyone's witnesses lives for certain.
    let due = |id: BootId| start(id.max(COUNT / 2)) + PATIENCE;
    let late = held.iter().filter(|(id, at)| **at > due(**id)).count();
    assert_eq!(late, 0, "{held:?}");
}
