//! Choice of the witnesses that acknowledge a member's lease.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rattanarch_types::BootId;
use rattanarch_types::Record;

use crate::rendezvous_weight;

/// Number of witnesses of a member in a service of at least four members.
///
/// Three tolerate the loss of one. Of two, the majority is both, so a pair is less available than a single
/// witness: in smaller services each member has one witness.
pub const MAX_WITNESSES: usize = 3;

/// Witnesses that `owner` should have, in ascending order.
///
/// None of them is leaving or `excluded`. They are in other data centres than the owner and than each
/// other as far as members allow. Current witnesses of `owner` are kept unless a new choice is spread
/// better; among equally good candidates, members that witness the fewest others come first.
pub fn choose_witnesses(
    record: &Record,
    owner: BootId,
    excluded: &BTreeSet<BootId>,
) -> Vec<BootId> {
    let none_alive = BTreeSet::new();
    let choice = Choice::new(record, owner, excluded, &none_alive);
    let current = record.members.get(&owner).map(|m| m.witnesses.as_slice()).unwrap_or_default();
    let kept = choice.complete(choice.still_eligible(current));
    let fresh = choice.complete(Vec::new());
    let mut best = if choice.overlap(&fresh) < choice.overlap(&kept) { fresh } else { kept };
    best.sort_unstable();
    best
}

/// Witnesses that `owner` should have while it holds no lease: members known to be `alive` first, then as
/// [`choose_witnesses`] would choose.
///
/// After all daemons have failed at once, the record still lists members of earlier boot ids, which acknowledge
/// nothing. A member that chose them as its witnesses would have to wait until it detects that they are silent.
pub fn choose_live_witnesses(
    record: &Record,
    owner: BootId,
    excluded: &BTreeSet<BootId>,
    alive: &BTreeSet<BootId>,
) -> Vec<BootId> {
    let mut chosen = Choice::new(record, owner, excluded, alive).complete(Vec::new());
    chosen.sort_unstable();
    chosen
}

/// State of one choice of witnesses.
struct Choice<'a> {
    record: &'a Record,
    owner: BootId,
    candidates: Vec<BootId>,
    /// Number of other members that each member witnesses.
    duty: BTreeMap<BootId, usize>,
    /// Number of witnesses to choose.
    count: usize,
    /// Members that are preferred before every other criterion.
    alive: &'a BTreeSet<BootId>,
}

impl<'a> Choice<'a> {
    fn new(
        record: &'a Record,
        owner: BootId,
        excluded: &BTreeSet<BootId>,
        alive: &'a BTreeSet<BootId>,
    ) -> Self {
        let eligible =
            |id: &BootId| *id != owner && !excluded.contains(id) && !record.members[id].leaving;
        let candidates: Vec<_> = record.members.keys().copied().filter(eligible).collect();
        let count = match candidates.len() {
            0 => 0,
            1 | 2 => 1,
            _ => MAX_WITNESSES,
        };
        Self { record, owner, candidates, duty: count_duty(record, owner), count, alive }
    }

    fn still_eligible(&self, current: &[BootId]) -> Vec<BootId> {
        let mut kept: Vec<_> =
            current.iter().copied().filter(|id| self.candidates.contains(id)).collect();
        kept.truncate(self.count);
        kept
    }

    /// Adds the cheapest candidates to `chosen` until there are enough.
    fn complete(&self, mut chosen: Vec<BootId>) -> Vec<BootId> {
        while chosen.len() < self.count {
            let free = self.candidates.iter().copied().filter(|id| !chosen.contains(id));
            let Some(next) = free.min_by_key(|id| self.cost(*id, &chosen)) else { break };
            chosen.push(next);
        }
        chosen
    }

    /// Cost of `id` as the next witness; candidates with the lowest one are chosen first.
    fn cost(&self, id: BootId, chosen: &[BootId]) -> (bool, bool, usize, usize, Reverse<u64>) {
        let same_centre =
            chosen.iter().filter(|other| self.centre(**other) == self.centre(id)).count();
        let duty = self.duty.get(&id).copied().unwrap_or_default();
        let unconfirmed = !self.alive.contains(&id);
        (
            unconfirmed,
            self.is_local(id),
            same_centre,
            duty,
            Reverse(rendezvous_weight(self.owner, id)),
        )
    }

    /// Number of witnesses in the owner's data centre, and of those that share a data centre with another witness.
    fn overlap(&self, chosen: &[BootId]) -> (usize, usize) {
        let local = chosen.iter().filter(|id| self.is_local(**id)).count();
        let centres: BTreeSet<_> = chosen.iter().map(|id| self.centre(*id)).collect();
        (local, chosen.len() - centres.len())
    }

    fn is_local(&self, id: BootId) -> bool {
        self.centre(id) == self.centre(self.owner)
    }

    fn centre(&self, id: BootId) -> Option<&str> {
        self.record.members.get(&id).map(|member| member.data_centre.as_str())
    }
}

fn count_duty(record: &Record, owner: BootId) -> BTreeMap<BootId, usize> {
    let mut duty = BTreeMap::new();
    let others = record.members.iter().filter(|(id, _)| **id != owner);
    for witness in others.flat_map(|(_, member)| &member.witnesses) {
        *duty.entry(*witness).or_default() += 1;
    }
    duty
}
