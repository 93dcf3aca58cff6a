//! Ways of spreading slices over members.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rattanarch_types::BootId;
use rattanarch_types::Record;
use rattanarch_types::SliceId;

use crate::rendezvous_weight;
use crate::share::Move;
use crate::share::assign_unowned;
use crate::share::plan_moves;
use crate::share::target_counts;

/// Blocks that a member gets of an empty service, as far as slices allow: enough that neighbouring
/// busy slices are spread, few enough that their list stays short.
const BLOCKS_A_MEMBER: usize = 28;

/// Largest block, in slices.
const MAX_BLOCK: usize = 16;

/// How slices are spread over members.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Spread {
    /// Every member owns slices in proportion to its slots: keys are hashed, so that slices have
    /// much the same load.
    #[default]
    Even,
    /// Slices are ranges of keys, and their loads differ by orders of magnitude. They are dealt out
    /// in blocks; afterwards owners move single slices by their load
    /// ([`plan_slice_moves`](crate::plan_slice_moves)), so that counts say little. Only members without
    /// any slice are given some.
    ByLoad,
}

impl Spread {
    /// Gives every slice without an owner to a member that is neither leaving nor `barred`.
    ///
    /// Slices stay without an owner while no member may own any.
    pub fn assign_unowned(self, record: &mut Record, barred: &BTreeSet<BootId>) {
        match self {
            Self::Even => assign_unowned(record, barred),
            Self::ByLoad => deal(record, barred),
        }
    }

    /// Moves that should be made, in the order of turns; those of one giver stand together.
    pub fn plan_moves(self, record: &Record, barred: &BTreeSet<BootId>) -> Vec<Move> {
        match self {
            Self::Even => plan_moves(record, barred),
            Self::ByLoad => {
                let mut moves = evict(record, barred);
                moves.extend(welcome(record, barred));
                moves
            }
        }
    }
}

/// Deals blocks without an owner to the members in equal parts, whatever they own already: a member
/// with few slices may have the busiest.
fn deal(record: &mut Record, barred: &BTreeSet<BootId>) {
    let able = |id: &BootId| !barred.contains(id) && !record.members[id].leaving;
    let members: Vec<BootId> = record.members.keys().copied().filter(able).collect();
    let mut dealt: BTreeMap<BootId, usize> = members.iter().map(|id| (*id, 0)).collect();
    let block = block_size(record.owners.len(), members.len());
    for (index, slices) in record.owners.chunks_mut(block).enumerate() {
        let missing = slices.iter().filter(|owner| owner.is_none()).count();
        if missing == 0 {
            continue;
        }
        let slots = |id: &BootId| usize::from(record.members[id].slots.max(1));
        let least = |id: &&BootId| {
            (dealt[*id] * SLOT_SCALE / slots(id), Reverse(rendezvous_weight(index as u64, **id)))
        };
        let Some(owner) = members.iter().min_by_key(least) else { return };
        dealt.entry(*owner).and_modify(|count| *count += missing);
        for slice in slices.iter_mut().filter(|slice| slice.is_none()) {
            *slice = Some(*owner);
        }
    }
}

/// Scale in which counts by slot are compared.
const SLOT_SCALE: usize = 1_000;

/// Slices in a block, a power of two, so that blocks of different sizes share their edges.
fn block_size(slices: usize, members: usize) -> usize {
    let wanted = slices / (members.max(1) * BLOCKS_A_MEMBER);
    let size = if wanted == 0 { 1 } else { 1 << wanted.ilog2() };
    size.min(MAX_BLOCK)
}

/// Everything that members own who may own nothing. Who gets it is decided when it is dealt.
fn evict(record: &Record, barred: &BTreeSet<BootId>) -> Vec<Move> {
    let out = |id: &BootId| {
        barred.contains(id) || record.members.get(id).is_some_and(|member| member.leaving)
    };
    let mut moves: Vec<Move> = record
        .owners
        .iter()
        .enumerate()
        .filter_map(|(slice, owner)| Some((slice as SliceId, (*owner)?)))
        .filter(|(_, owner)| out(owner))
        .map(|(slice, owner)| Move { slice, from: owner, to: owner })
        .collect();
    moves.sort_by_key(|change| (change.from, change.slice));
    moves
}

/// Blocks for members that own nothing, each time from the member that owns the most: what is over
/// its target, or half of it.
fn welcome(record: &Record, barred: &BTreeSet<BootId>) -> Vec<Move> {
    // Every member plans after every update, nearly always without a newcomer: that case costs one pass.
    let owners: BTreeSet<BootId> = record.owners.iter().copied().flatten().collect();
    let able = |id: &BootId| !barred.contains(id) && !record.members[id].leaving;
    if record.members.keys().filter(|id| able(id)).all(|id| owners.contains(id)) {
        return Vec::new();
    }
    let targets = target_counts(record, barred);
    let mut owned: BTreeMap<BootId, BTreeSet<SliceId>> =
        targets.keys().map(|id| (*id, BTreeSet::new())).collect();
    for (slice, owner) in record.owners.iter().enumerate() {
        if let Some(slices) = owner.and_then(|owner| owned.get_mut(&owner)) {
            slices.insert(slice as SliceId);
        }
    }
    let mut newcomers: Vec<BootId> =
        owned.iter().filter(|(_, slices)| slices.is_empty()).map(|(id, _)| *id).collect();
    newcomers.sort_by_key(|id| rendezvous_weight(0, *id));
    let block = block_size(record.owners.len(), targets.len());
    let mut moves: BTreeMap<BootId, Vec<Move>> = BTreeMap::new();
    for to in newcomers {
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
    let mut givers: Vec<_> = moves.into_iter().filter(|(_, moves)| !moves.is_empty()).collect();
    givers.sort_by_key(|(id, moves)| (Reverse(moves.len()), rendezvous_weight(0, *id)));
    givers.into_iter().flat_map(|(_, moves)| moves).collect()
}

/// Some `count` of `slices`, in whole blocks drawn by rank, so that neighbours part.
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
