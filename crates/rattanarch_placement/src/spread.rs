//! Policies that spread slices over members.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rattanarch_types::BootId;
use rattanarch_types::Record;
use rattanarch_types::SliceId;

use crate::balance::Move;
use crate::balance::assign_unowned;
use crate::balance::plan_moves;
use crate::balance::target_counts;
use crate::rendezvous_weight;

/// Blocks per member when slices are first assigned, if there are enough slices: enough blocks to spread neighbouring
/// busy slices, few enough to keep the lists of ranges short.
const BLOCKS_PER_MEMBER: usize = 28;

/// Largest block, in slices.
const MAX_BLOCK_SLICES: usize = 16;

/// How slices are spread over members.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Spread {
    /// Every member owns slices in proportion to its slots. Keys are hashed, so slices have similar
    /// loads.
    #[default]
    Even,
    /// Slices are ranges of keys, and their loads differ by orders of magnitude. They are assigned in
    /// blocks; afterwards owners move single slices by load
    /// ([`plan_slice_moves`](crate::plan_slice_moves)), so counts say little about load. Only members
    /// without any slice are given some.
    ByLoad,
}

impl Spread {
    /// Gives every slice without an owner to a member that is neither leaving nor `excluded`.
    ///
    /// Slices stay without an owner if no member may own any.
    pub fn assign_unowned(self, record: &mut Record, excluded: &BTreeSet<BootId>) {
        match self {
            Self::Even => assign_unowned(record, excluded),
            Self::ByLoad => assign_blocks(record, excluded),
        }
    }

    /// Moves that should be made, in the order in which members make them; those from one member are adjacent.
    pub fn plan_moves(self, record: &Record, excluded: &BTreeSet<BootId>) -> Vec<Move> {
        match self {
            Self::Even => plan_moves(record, excluded),
            Self::ByLoad => {
                let mut moves = moves_of_ineligible(record, excluded);
                moves.extend(moves_to_new_members(record, excluded));
                moves
            }
        }
    }
}

/// Assigns blocks without an owner to the members in proportion to their slots, whatever they own already: a
/// member with few slices may have the busiest ones.
fn assign_blocks(record: &mut Record, excluded: &BTreeSet<BootId>) {
    let eligible = |id: &BootId| !excluded.contains(id) && !record.members[id].leaving;
    let members: Vec<BootId> = record.members.keys().copied().filter(eligible).collect();
    let mut assigned: BTreeMap<BootId, usize> = members.iter().map(|id| (*id, 0)).collect();
    let block = block_size(record.owners.len(), members.len());
    for (index, slices) in record.owners.chunks_mut(block).enumerate() {
        let unowned = slices.iter().filter(|owner| owner.is_none()).count();
        if unowned == 0 {
            continue;
        }
        let slots = |id: &BootId| usize::from(record.members[id].slots.max(1));
        let least_assigned = |id: &&BootId| {
            (
                assigned[*id] * COUNT_SCALE / slots(id),
                Reverse(rendezvous_weight(index as u64, **id)),
            )
        };
        let Some(owner) = members.iter().min_by_key(least_assigned) else { return };
        assigned.entry(*owner).and_modify(|count| *count += unowned);
        for slice in slices.iter_mut().filter(|slice| slice.is_none()) {
            *slice = Some(*owner);
        }
    }
}

/// Fixed-point scale for comparing counts per slot.
const COUNT_SCALE: usize = 1_000;

/// Slices per block: a power of two, so that boundaries of larger blocks are also boundaries of smaller ones.
fn block_size(slices: usize, members: usize) -> usize {
    let wanted = slices / (members.max(1) * BLOCKS_PER_MEMBER);
    let size = if wanted == 0 { 1 } else { 1 << wanted.ilog2() };
    size.min(MAX_BLOCK_SLICES)
}

/// Moves of all slices whose owners may own none. Each has its owner as the target: the new owner is chosen when the
/// slice is assigned.
fn moves_of_ineligible(record: &Record, excluded: &BTreeSet<BootId>) -> Vec<Move> {
    let ineligible = |id: &BootId| {
        excluded.contains(id) || record.members.get(id).is_some_and(|member| member.leaving)
    };
    let mut moves: Vec<Move> = record
        .owners
        .iter()
        .enumerate()
        .filter_map(|(slice, owner)| Some((slice as SliceId, (*owner)?)))
        .filter(|(_, owner)| ineligible(owner))
        .map(|(slice, owner)| Move { slice, from: owner, to: owner })
        .collect();
    moves.sort_by_key(|change| (change.from, change.slice));
    moves
}

/// Moves of blocks to members that own nothing. Each of them gets slices from the member that then owns the most: its
/// surplus over the target or half of its slices, whichever is more, up to the target of the new member.
fn moves_to_new_members(record: &Record, excluded: &BTreeSet<BootId>) -> Vec<Move> {
    // Every member plans after every update, nearly always without a new member: that case costs one pass.
    let owners: BTreeSet<BootId> = record.owners.iter().copied().flatten().collect();
    let eligible = |id: &BootId| !excluded.contains(id) && !record.members[id].leaving;
    if record.members.keys().filter(|id| eligible(id)).all(|id| owners.contains(id)) {
        return Vec::new();
    }
    let targets = target_counts(record, excluded);
    let mut owned: BTreeMap<BootId, BTreeSet<SliceId>> =
        targets.keys().map(|id| (*id, BTreeSet::new())).collect();
    for (slice, owner) in record.owners.iter().enumerate() {
        if let Some(slices) = owner.and_then(|owner| owned.get_mut(&owner)) {
            slices.insert(slice as SliceId);
        }
    }
    let mut new_members: Vec<BootId> =
        owned.iter().filter(|(_, slices)| slices.is_empty()).map(|(id, _)| *id).collect();
    new_members.sort_by_key(|id| rendezvous_weight(0, *id));
    let block = block_size(record.owners.len(), targets.len());
    let mut moves: BTreeMap<BootId, Vec<Move>> = BTreeMap::new();
    for to in new_members {
        let Some((from, slices)) =
            owned.iter().max_by_key(|(id, s)| (s.len(), rendezvous_weight(0, **id)))
        else {
            break;
        };
        let from = *from;
        let surplus = slices.len().saturating_sub(targets[&from]).max(slices.len() / 2);
        let given = pick_blocks(slices, block, to, surplus.min(targets[&to]));
        let list = moves.entry(from).or_default();
        list.extend(given.iter().map(|slice| Move { slice: *slice, from, to }));
        if let Some(slices) = owned.get_mut(&from) {
            slices.retain(|slice| !given.contains(slice));
        }
    }
    let mut sources: Vec<_> = moves.into_iter().filter(|(_, moves)| !moves.is_empty()).collect();
    sources.sort_by_key(|(id, moves)| (Reverse(moves.len()), rendezvous_weight(0, *id)));
    sources.into_iter().flat_map(|(_, moves)| moves).collect()
}

/// Picks `count` of `slices`, block by block in the order of rendezvous weights, so that neighbouring blocks get
/// different owners.
fn pick_blocks(
    slices: &BTreeSet<SliceId>,
    block: usize,
    member: BootId,
    count: usize,
) -> BTreeSet<SliceId> {
    let block_of = |slice: &SliceId| usize::from(*slice) / block;
    let mut blocks: Vec<usize> = slices.iter().map(block_of).collect();
    blocks.dedup();
    blocks.sort_by_key(|index| rendezvous_weight(*index as u64, member));
    let in_block = |index: usize| slices.iter().copied().filter(move |s| block_of(s) == index);
    blocks.into_iter().flat_map(in_block).take(count).collect()
}
