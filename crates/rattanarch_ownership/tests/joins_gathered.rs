//! The joins of many nodes take few updates.

mod fleet;
mod members;

use std::collections::BTreeSet;
use std::time::Duration;

use fleet::Fleet;
use members::member;
use rattanarch_ownership::Batcher;
use rattanarch_ownership::JoinRequest;
use rattanarch_ownership::Timing;
use rattanarch_ownership::apply_joins;
use rattanarch_placement::MAX_WITNESSES;
use rattanarch_placement::Spread;
use rattanarch_types::BootId;
use rattanarch_types::Member;
use rattanarch_types::Record;

/// Number of daemons that start together.
const COUNT: u64 = 64;

/// Most updates and lost races for all joins.
const MOST_UPDATES: u64 = 4;
const MOST_RACES: u64 = 8;

fn fenced(id: BootId) -> Member {
    Member { fence: 1, ..member(&format!("m{id}")) }
}

/// A fleet of which every process restarts.
fn restarted() -> Fleet {
    let timing = Timing { join_spread: Duration::from_secs(2), ..Timing::default() };
    Fleet::restarted(COUNT, 4_096, timing, fenced)
}

/// Whether all daemons except the silent ones have joined.
fn have_joined(fleet: &Fleet) -> bool {
    let answers = |index: &usize| !fleet.silent.contains(index);
    let joined = |index: usize| fleet.stored.members.contains_key(&(index as BootId + 1));
    (0..fleet.nodes.len()).filter(answers).all(joined)
}

/// All join in a few updates with few lost races. Nodes that wrote their own joins took 65 updates and 183 lost races.
#[test]
fn few_updates() {
    let mut fleet = restarted();
    let took = fleet.run_until(have_joined);
    assert!(fleet.updates <= MOST_UPDATES, "{} updates", fleet.updates);
    assert!(fleet.races <= MOST_RACES, "{} races", fleet.races);
    assert!(took < Duration::from_millis(400), "{took:?}");
    // Each has replaced its previous boot, and all witnesses are new boots.
    assert!(fleet.stored.owners.iter().flatten().all(|owner| *owner <= COUNT));
    let few = |member: &&Member| member.witnesses.len() < MAX_WITNESSES;
    assert_eq!(fleet.stored.members.values().filter(few).count(), 0);
    assert!(fleet.stored.members.values().flat_map(|m| &m.witnesses).all(|id| *id <= COUNT));
}

/// Silent batchers cost a bounded delay: two requests without an answer, and the time to collect a batch.
#[test]
fn silent_batchers() {
    let mut fleet = restarted();
    let order: Vec<usize> = {
        let mut ids: Vec<BootId> = fleet.stored.members.keys().copied().collect();
        ids.sort_by_key(|id| std::cmp::Reverse(rattanarch_placement::rendezvous_weight(0, *id)));
        ids.iter().map(|id| (*id - 1_001) as usize).collect()
    };
    fleet.silent.extend(&order[..2]);
    let took = fleet.run_until(have_joined);
    assert!(took < Duration::from_millis(1_700), "{took:?}");
}

/// A join replaces only the previous boot whose end its node has verified.
#[test]
fn previous_boot() {
    let mut record = Record::new("trade-desk", 4);
    record.members.insert(5, fenced(1));
    record.owners = vec![Some(5); 4];
    let no_members = BTreeSet::new();
    let join = |old| JoinRequest { id: 9, member: fenced(1), old, ended: true };
    assert_eq!(apply_joins(&mut record, [&join(Some(4))], &no_members, &no_members), 0);
    assert_eq!(apply_joins(&mut record, [&join(None)], &no_members, &no_members), 0);
    assert_eq!(record.slices_of(5).count(), 4);
    assert_eq!(apply_joins(&mut record, [&join(Some(5))], &no_members, &no_members), 1);
    assert_eq!(record.slices_of(9).count(), 4);
    assert_eq!(apply_joins(&mut record, [&join(Some(5))], &no_members, &no_members), 0, "once");
}

/// A join of a node that saw its previous boot own no slices does not replace it once it owns some.
#[test]
fn idle_previous_boot() {
    let mut record = Record::new("trade-desk", 4);
    record.members.extend([(5, fenced(1)), (6, fenced(2))]);
    record.owners = vec![Some(6); 4];
    let idle = record.clone();
    record.owners[3] = Some(5);
    let no_members = BTreeSet::new();
    let join = JoinRequest { id: 9, member: fenced(1), old: Some(5), ended: false };
    assert_eq!(apply_joins(&mut record, [&join], &no_members, &no_members), 0);
    assert_eq!(record.slices_of(5).count(), 1);
    assert_eq!(apply_joins(&mut idle.clone(), [&join], &no_members, &no_members), 1);
}

/// Joins assign no unowned slices: otherwise the first node to join would get all and give most of them away again.
#[test]
fn unowned_kept() {
    let mut batcher = Batcher::new(3).with_spread(Spread::ByLoad);
    let join = JoinRequest { id: 9, member: fenced(1), old: None, ended: false };
    batcher.add(Duration::ZERO, join.into());
    let no_members = BTreeSet::new();
    let record = Record::new("trade-desk", 4);
    let draft = batcher.draft(Duration::from_secs(1), &record, &no_members, &no_members);
    let draft = draft.expect("the join is due");
    assert!(draft.members.contains_key(&9));
    assert_eq!(draft.owners, record.owners);
}
