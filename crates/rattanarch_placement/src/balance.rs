//! Number of slices that each member should own, and the moves that balance members accordingly.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rattanarch_types::BootId;
use rattanarch_types::Record;
use rattanarch_types::SliceId;

use crate::rendezvous_weight;

/// One slice that should move from one member to another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Move {
    /// Slice that moves.
    pub slice: SliceId,
    /// Member that owns the slice and writes the change.
    pub from: BootId,
    /// Member that should own it.
    pub to: BootId,
}

/// Number of slices that each member should own, in proportion to its slots.
///
/// Members that are leaving or `excluded` should own none and are absent. The sum is the slice count,
/// unless no member may own any. Remainders go first to members that already own more than their part.
pub fn target_counts(record: &Record, excluded: &BTreeSet<BootId>) -> BTreeMap<BootId, usize> {
    let eligible = |id: &BootId| !excluded.contains(id) && !record.members[id].leaving;
    let members: Vec<_> = record.members.keys().copied().filter(eligible).collect();
    let slots = |id: &BootId| usize::from(record.members[id].slots.max(1));
    let total_slots: usize = members.iter().map(slots).sum();
    let count = record.owners.len();
    if total_slots == 0 {
        return BTreeMap::new();
    }
    let owned = count_owned(record);
    let mut targets: BTreeMap<_, _> =
        members.iter().map(|id| (*id, count * slots(id) / total_slots)).collect();
    let remainder = count - targets.values().sum::<usize>();
    let mut order = members;
    order.sort_by_key(|id| {
        let above = owned.get(id).copied().unwrap_or_default() > targets[id];
        (Reverse(above), Reverse(count * slots(id) % total_slots), rendezvous_weight(0, *id))
    });
    for id in order.into_iter().take(remainder) {
        targets.entry(id).and_modify(|target| *target += 1);
    }
    targets
}

/// Gives every slice without an owner to the member that is furthest below its target.
///
/// Slices stay without an owner if no member may own any.
pub fn assign_unowned(record: &mut Record, excluded: &BTreeSet<BootId>) {
    let targets = target_counts(record, excluded);
    let mut owned = count_owned(record);
    for slice in 0..record.owners.len() {
        if record.owners[slice].is_some() {
            continue;
        }
        let Some(owner) = largest_deficit(&targets, &owned, slice as SliceId) else { return };
        record.owners[slice] = Some(owner);
        *owned.entry(owner).or_default() += 1;
    }
}

/// Moves that bring every member to its target, in the order in which members make them.
///
/// Moves from one member are adjacent. Members that may own nothing come first, then those with the
/// largest surplus. Only surplus slices move, so plans for the same members never move a slice twice.
pub fn plan_moves(record: &Record, excluded: &BTreeSet<BootId>) -> Vec<Move> {
    let targets = target_counts(record, excluded);
    let mut owned = count_owned(record);
    let mut moves = Vec::new();
    for (from, surplus) in surpluses(&targets, &owned) {
        let slices: Vec<_> = record.slices_of(from).collect();
        for slice in slices.into_iter().rev().take(surplus) {
            let Some(to) = largest_deficit(&targets, &owned, slice) else { return moves };
            *owned.entry(from).or_default() -= 1;
            *owned.entry(to).or_default() += 1;
            moves.push(Move { slice, from, to });
        }
    }
    moves
}

/// Members that own more than their target, in the order in which they make their moves, and the surplus of each.
fn surpluses(
    targets: &BTreeMap<BootId, usize>,
    owned: &BTreeMap<BootId, usize>,
) -> Vec<(BootId, usize)> {
    let surplus = |id: &BootId, count: usize| {
        count.saturating_sub(targets.get(id).copied().unwrap_or_default())
    };
    let mut surpluses: Vec<_> =
        owned.iter().map(|(id, count)| (*id, surplus(id, *count))).collect();
    surpluses.retain(|(_, surplus)| *surplus > 0);
    surpluses.sort_by_key(|(id, surplus)| {
        (targets.contains_key(id), Reverse(*surplus), rendezvous_weight(0, *id))
    });
    surpluses
}

/// The member that is furthest below its target; ties are broken by rendezvous weight for `slice`.
fn largest_deficit(
    targets: &BTreeMap<BootId, usize>,
    owned: &BTreeMap<BootId, usize>,
    slice: SliceId,
) -> Option<BootId> {
    let deficit = |id: &BootId| {
        let count = owned.get(id).copied().unwrap_or_default();
        targets[id] as i64 - count as i64
    };
    targets.keys().copied().max_by_key(|id| (deficit(id), rendezvous_weight(u64::from(slice), *id)))
}

fn count_owned(record: &Record) -> BTreeMap<BootId, usize> {
    let mut owned = BTreeMap::new();
    for owner in record.owners.iter().flatten() {
        *owned.entry(*owner).or_default() += 1;
    }
    owned
}
