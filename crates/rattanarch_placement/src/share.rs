//! How many slices each member should own, and which moves bring it there.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rattanarch_types::BootId;
use rattanarch_types::Record;
use rattanarch_types::SliceId;

use crate::rendezvous_weight;

/// One slice on its way from one member to another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Move {
    /// Slice that moves.
    pub slice: SliceId,
    /// Member that owns it and is to write the change.
    pub from: BootId,
    /// Member that is to own it.
    pub to: BootId,
}

/// Slices that each member should own, in proportion to its slots.
///
/// Members that are leaving or `barred` should own none and are absent. The sum is the slice
/// count, unless no member may own any. Remainders go to the members that own the most already.
pub fn target_counts(record: &Record, barred: &BTreeSet<BootId>) -> BTreeMap<BootId, usize> {
    let able = |id: &BootId| !barred.contains(id) && !record.members[id].leaving;
    let members: Vec<_> = record.members.keys().copied().filter(able).collect();
    let slots = |id: &BootId| usize::from(record.members[id].slots.max(1));
    let total: usize = members.iter().map(slots).sum();
    let count = record.owners.len();
    if total == 0 {
        return BTreeMap::new();
    }
    let owned = count_owned(record);
    let mut targets: BTreeMap<_, _> =
        members.iter().map(|id| (*id, count * slots(id) / total)).collect();
    let rest = count - targets.values().sum::<usize>();
    let mut order = members;
    order.sort_by_key(|id| {
        let surplus = owned.get(id).copied().unwrap_or_default() > targets[id];
        (Reverse(surplus), Reverse(count * slots(id) % total), rendezvous_weight(0, *id))
    });
    for id in order.into_iter().take(rest) {
        targets.entry(id).and_modify(|target| *target += 1);
    }
    targets
}

/// Gives every slice without an owner to the member that lacks the most of its target.
///
/// Slices stay without an owner while no member may own any.
pub fn assign_unowned(record: &mut Record, barred: &BTreeSet<BootId>) {
    let targets = target_counts(record, barred);
    let mut owned = count_owned(record);
    for slice in 0..record.owners.len() {
        if record.owners[slice].is_some() {
            continue;
        }
        let Some(owner) = neediest(&targets, &owned, slice as SliceId) else { return };
        record.owners[slice] = Some(owner);
        *owned.entry(owner).or_default() += 1;
    }
}

/// Moves that bring every member to its target, in the order of turns.
///
/// Moves of one giver stand together. Members that may own nothing come first, then those with the
/// largest surplus. Only surplus slices move, so no plan of the same members moves a slice twice.
pub fn plan_moves(record: &Record, barred: &BTreeSet<BootId>) -> Vec<Move> {
    let targets = target_counts(record, barred);
    let mut owned = count_owned(record);
    let mut moves = Vec::new();
    for (giver, surplus) in givers(&targets, &owned) {
        let slices: Vec<_> = record.slices_of(giver).collect();
        for slice in slices.into_iter().rev().take(surplus) {
            let Some(to) = neediest(&targets, &owned, slice) else { return moves };
            *owned.entry(giver).or_default() -= 1;
            *owned.entry(to).or_default() += 1;
            moves.push(Move { slice, from: giver, to });
        }
    }
    moves
}

fn givers(
    targets: &BTreeMap<BootId, usize>,
    owned: &BTreeMap<BootId, usize>,
) -> Vec<(BootId, usize)> {
    let surplus = |id: &BootId, count: usize| {
        count.saturating_sub(targets.get(id).copied().unwrap_or_default())
    };
    let mut givers: Vec<_> = owned.iter().map(|(id, count)| (*id, surplus(id, *count))).collect();
    givers.retain(|(_, surplus)| *surplus > 0);
    givers.sort_by_key(|(id, surplus)| {
        (targets.contains_key(id), Reverse(*surplus), rendezvous_weight(0, *id))
    });
    givers
}

fn neediest(
    targets: &BTreeMap<BootId, usize>,
    owned: &BTreeMap<BootId, usize>,
    slice: SliceId,
) -> Option<BootId> {
    let need = |id: &BootId| {
        let have = owned.get(id).copied().unwrap_or_default();
        targets[id] as i64 - have as i64
    };
    targets.keys().copied().max_by_key(|id| (need(id), rendezvous_weight(u64::from(slice), *id)))
}

fn count_owned(record: &Record) -> BTreeMap<BootId, usize> {
    let mut owned = BTreeMap::new();
    for owner in record.owners.iter().flatten() {
        *owned.entry(*owner).or_default() += 1;
    }
    owned
}
