//! Joins of many nodes in few updates.

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

/// Daemons that start together.
const COUNT: u64 = 64;

/// Most updates and lost races that may join them.
const MOST_UPDATES: u64 = 4;
const MOST_RACES: u64 = 8;

fn fenced(id: BootId) -> Member {
    Member { fence: 1, ..member(&format!("m{id}")) }
}

/// A fleet that starts again after a loss of everything.
fn returning() -> Fleet {
    let timing = Timing { join_spread: Duration::from_secs(2), ..Timing::default() };
    Fleet::returning(COUNT, 4_096, timing, fenced)
}

/// Whether all have joined but those that answer nobody.
fn have_joined(fleet: &Fleet) -> bool {
    let waits = |index: &usize| !fleet.silent.contains(index);
    let joined = |index: usize| fleet.stored.members.contains_key(&(index as BootId + 1));
    (0..fleet.nodes.len()).filter(waits).all(joined)
}

/// All join in a few updates and lose few races: each for itself took 65 updates and 183 lost races.
#[test]
fn few_updates() {
    let mut fleet = returning();
    let took = fleet.run_until(have_joined);
    assert!(fleet.updates <= MOST_UPDATES, "{} updates", fleet.updates);
    assert!(fleet.races <= MOST_RACES, "{} races", fleet.races);
    assert!(took < Duration::from_millis(400), "{took:?}");
    // Each has taken the place of its older life, with witnesses of the new lives alone.
    assert!(fleet.stored.owners.iter().flatten().all(|owner| *owner <= COUNT));
    let few = |member: &&Member| member.witnesses.len() < MAX_WITNESSES;
    assert_eq!(fleet.stored.members.values().filter(few).count(), 0);
    assert!(fleet.stored.members.values().flat_map(|m| &m.witnesses).all(|id| *id <= COUNT));
}

/// Silent gatherers cost a bounded delay: two that are asked in vain, and the time to gather.
#[test]
fn silent_gatherers() {
    let mut fleet = returning();
    let order: Vec<usize> = {
        let mut ids: Vec<BootId> = fleet.stored.members.keys().copied().collect();
        ids.sort_by_key(|id| std::cmp::Reverse(rattanarch_placement::rendezvous_weight(0, *id)));
        ids.iter().map(|id| (*id - 1_001) as usize).collect()
    };
    fleet.silent.extend(&order[..2]);
    let took = fleet.run_until(have_joined);
    assert!(took < Duration::from_millis(1_700), "{took:?}");
}

/// An application counts only for the older life that its node has made sure of.
#[test]
fn older_life() {
    let mut record = Record::new("trade-desk", 4);
    record.members.insert(5, fenced(1));
    record.owners = vec![Some(5); 4];
    let nobody = BTreeSet::new();
    let application = |old| JoinRequest { id: 9, member: fenced(1), old, ended: true };
    assert_eq!(apply_joins(&mut record, [&application(Some(4))], &nobody, &nobody), 0);
    assert_eq!(apply_joins(&mut record, [&application(None)], &nobody, &nobody), 0);
    assert_eq!(record.slices_of(5).count(), 4);
    assert_eq!(apply_joins(&mut record, [&application(Some(5))], &nobody, &nobody), 1);
    assert_eq!(record.slices_of(9).count(), 4);
    assert_eq!(apply_joins(&mut record, [&application(Some(5))], &nobody, &nobody), 0, "once");
}

/// A node that saw its older life own nothing does not take the place of one that owns something by now.
#[test]
fn idle_life() {
    let mut record = Record::new("trade-desk", 4);
    record.members.extend([(5, fenced(1)), (6, fenced(2))]);
    record.owners = vec![Some(6); 4];
    let idle = record.clone();
    record.owners[3] = Some(5);
    let nobody = BTreeSet::new();
    let application = JoinRequest { id: 9, member: fenced(1), old: Some(5), ended: false };
    assert_eq!(apply_joins(&mut record, [&application], &nobody, &nobody), 0);
    assert_eq!(record.slices_of(5).count(), 1);
    assert_eq!(apply_joins(&mut idle.clone(), [&application], &nobody, &nobody), 1);
}

/// Joins leave slices without an owner alone: the first to join would get all, and give most away again.
#[test]
fn nothing_dealt() {
    let mut gatherer = Batcher::new(3).with_spread(Spread::ByLoad);
    let application = JoinRequest { id: 9, member: fenced(1), old: None, ended: false };
    gatherer.add(Duration::ZERO, application.into());
    let nobody = BTreeSet::new();
    let record = Record::new("trade-desk", 4);
    let draft = gatherer.draft(Duration::from_secs(1), &record, &nobody, &nobody);
    let draft = draft.expect("the join is due");
    assert!(draft.members.contains_key(&9));
    assert_eq!(draft.owners, record.owners);
}
