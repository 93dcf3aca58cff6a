//! Sample records of services.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeSet;

use rattanarch_placement::assign_unowned;
use rattanarch_placement::plan_moves;
use rattanarch_types::BootId;
use rattanarch_types::Member;
use rattanarch_types::Record;

pub fn member(id: BootId, centres: u64) -> Member {
    Member {
        instance: format!("slot-{id}"),
        data_centre: format!("centre-{}", id % centres),
        peer: ([127, 0, 0, 1], 7000).into(),
        caller: ([127, 0, 0, 1], 7001).into(),
        slots: 20,
        fence: 0,
        term: 1,
        witnesses: Vec::new(),
        leaving: false,
        releases: 0,
        link_megabits_per_s: 0,
    }
}

/// A service of `members` members whose slices are all assigned.
pub fn service(members: u64, centres: u64, slices: u16) -> Record {
    let mut record = Record::new("trade-desk", slices);
    for id in 1..=members {
        record.members.insert(id, member(id, centres));
    }
    assign_unowned(&mut record, &BTreeSet::new());
    record
}

/// Carries out the whole plan; returns the number of slices that moved.
pub fn apply_plan(record: &mut Record, excluded: &BTreeSet<BootId>) -> usize {
    let moves = plan_moves(record, excluded);
    for change in &moves {
        assert_eq!(record.owners[usize::from(change.slice)], Some(change.from));
        record.owners[usize::from(change.slice)] = Some(change.to);
    }
    moves.len()
}

/// Removes a member, as a takeover does; returns the number of slices that moved.
pub fn remove_member(record: &mut Record, id: BootId) -> usize {
    record.members.remove(&id);
    let mut moved = 0;
    for owner in record.owners.iter_mut().filter(|owner| **owner == Some(id)) {
        *owner = None;
        moved += 1;
    }
    assign_unowned(record, &BTreeSet::new());
    moved
}
