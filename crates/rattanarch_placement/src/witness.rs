//! Who renews a member's lease.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rattanarch_types::BootId;
use rattanarch_types::Record;

use crate::rendezvous_weight;

/// Witnesses of a member in a service of at least four members.
///
/// Three bear the loss of one. Two would need both, so that a pair is worse than one alone:
/// smaller services have one witness a member.
pub const MAX_WITNESSES: usize = 3;

/// Witnesses that `owner` should have, in ascending order.
///
/// None of them is leaving or `excluded`. They stand in other data centres than the owner and than
/// each other as far as members allow. Witnesses that `owner` has already are kept unless a new
/// choice is spread better; among equals, members with the least duty come first.
pub fn choose_witnesses(
    record: &Record,
    owner: BootId,
    excluded: &BTreeSet<BootId>,
) -> Vec<BootId> {
    let nobody = BTreeSet::new();
    let choice = Choice::new(record, owner, excluded, &nobody);
    let current = record.members.get(&owner).map(|m| m.witnesses.as_slice()).unwrap_or_default();
    let kept = choice.complete(choice.valid(current));
    let fresh = choice.complete(Vec::new());
    let mut best = if choice.crowding(&fresh) < choice.crowding(&kept) { fresh } else { kept };
    best.sort_unstable();
    best
}

/// Witnesses that `owner` should have while it holds no lease: those known to be `alive` first, then as
/// [`choose_witnesses`] would choose.
///
/// Answers the load after a loss of everything. A record names old lives then, which acknowledge nothing, and
/// a member that took some of them as its witnesses would wait until it knows their silence.
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

struct Choice<'a> {
    record: &'a Record,
    owner: BootId,
    candidates: Vec<BootId>,
    duty: BTreeMap<BootId, usize>,
    count: usize,
    /// Members that are preferred whatever else they cost.
    alive: &'a BTreeSet<BootId>,
}

impl<'a> Choice<'a> {
    fn new(
        record: &'a Record,
        owner: BootId,
        excluded: &BTreeSet<BootId>,
        alive: &'a BTreeSet<BootId>,
    ) -> Self {
        let able =
            |id: &BootId| *id != owner && !excluded.contains(id) && !record.members[id].leaving;
        let candidates: Vec<_> = record.members.keys().copied().filter(able).collect();
        let count = match candidates.len() {
            0 => 0,
            1 | 2 => 1,
            _ => MAX_WITNESSES,
        };
        Self { record, owner, candidates, duty: count_duty(record, owner), count, alive }
    }

    fn valid(&self, current: &[BootId]) -> Vec<BootId> {
        let mut valid: Vec<_> =
            current.iter().copied().filter(|id| self.candidates.contains(id)).collect();
        valid.truncate(self.count);
        valid
    }

    fn complete(&self, mut chosen: Vec<BootId>) -> Vec<BootId> {
        while chosen.len() < self.count {
            let free = self.candidates.iter().copied().filter(|id| !chosen.contains(id));
            let Some(next) = free.min_by_key(|id| self.cost(*id, &chosen)) else { break };
            chosen.push(next);
        }
        chosen
    }

    fn cost(&self, id: BootId, chosen: &[BootId]) -> (bool, bool, usize, usize, Reverse<u64>) {
        let same = chosen.iter().filter(|other| self.centre(**other) == self.centre(id)).count();
        let duty = self.duty.get(&id).copied().unwrap_or_default();
        let unsure = !self.alive.contains(&id);
        (unsure, self.is_local(id), same, duty, Reverse(rendezvous_weight(self.owner, id)))
    }

    /// Witnesses in the owner's data centre, then pairs that share one.
    fn crowding(&self, chosen: &[BootId]) -> (usize, usize) {
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
