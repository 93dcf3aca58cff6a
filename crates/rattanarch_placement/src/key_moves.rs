//! Choice of the hot keys that an overloaded member gives away.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rattanarch_types::BootId;
use rattanarch_types::KeyHash;
use rattanarch_types::Record;

/// Largest number of keys that one plan moves.
pub const MAX_KEY_MOVES: usize = 2;
/// Largest number of hot keys in a record: each takes about 40 bytes of the platform's limit of a megabyte.
pub const MAX_HOT_KEYS: usize = 256;

/// Load, in percent of the mean, above which a member is overloaded.
const OVERLOAD_PERCENT: u64 = 125;
/// Requests per second and slot below which a member is never overloaded, whatever the load of others: at 10 ms per
/// request this is a tenth of a slot's capacity, and a key is not served while it moves.
const MIN_RATE_PER_SLOT: u64 = 10;
/// Highest load of a receiver with the key, in percent of the owner's load; closer to it, the key would soon move back.
const MAX_RECEIVER_PERCENT: u64 = 90;

/// Hot keys that `owner` should give to less loaded members, hottest first, and their receivers; at most
/// [`MAX_KEY_MOVES`].
///
/// `keys` holds requests per second of the owner's keys. `loads` holds those of the members that the owner
/// knows of: its witnesses and the members that it witnesses, a sample spread over the service. Loads are
/// compared per slot. A key moves only if its receiver then has clearly less load than the owner has now, so a
/// single key that overloads any member by itself stays where it is.
pub fn plan_key_moves(
    record: &Record,
    owner: BootId,
    excluded: &BTreeSet<BootId>,
    keys: &BTreeMap<KeyHash, u32>,
    loads: &BTreeMap<BootId, u32>,
) -> Vec<(KeyHash, BootId)> {
    let mut loads = Loads::new(record, excluded, loads);
    let mut moves = Vec::new();
    let mut hottest: Vec<_> =
        keys.iter().filter(|(key, _)| record.owner_of(**key) == Some(owner)).collect();
    hottest.sort_by_key(|(key, load)| (Reverse(**load), **key));
    let max_moves = MAX_HOT_KEYS.saturating_sub(record.hot.len()).min(MAX_KEY_MOVES);
    for (key, load) in hottest {
        if moves.len() == max_moves || !loads.is_overloaded(owner) {
            break;
        }
        if let Some(to) = loads.receiver(owner, u64::from(*load)) {
            loads.shift(owner, to, u64::from(*load));
            moves.push((*key, to));
        }
    }
    moves
}

/// Known loads of eligible members.
struct Loads {
    /// Requests per second and slots of each member.
    members: BTreeMap<BootId, (u64, u64)>,
}

impl Loads {
    fn new(record: &Record, excluded: &BTreeSet<BootId>, loads: &BTreeMap<BootId, u32>) -> Self {
        let eligible = record.members.iter().filter(|(id, m)| !m.leaving && !excluded.contains(id));
        let known = eligible.filter_map(|(id, member)| {
            let load = u64::from(*loads.get(id)?);
            Some((*id, (load, u64::from(member.slots.max(1)))))
        });
        Self { members: known.collect() }
    }

    fn is_overloaded(&self, owner: BootId) -> bool {
        let Some((load, slots)) = self.members.get(&owner) else { return false };
        if *load < MIN_RATE_PER_SLOT * slots {
            return false;
        }
        let total: u64 = self.members.values().map(|(load, _)| load).sum();
        let total_slots: u64 = self.members.values().map(|(_, slots)| slots).sum();
        100 * load * total_slots > OVERLOAD_PERCENT * total * slots
    }

    /// The least loaded other member, if it stays clearly below `owner` with `load` added.
    fn receiver(&self, owner: BootId, load: u64) -> Option<BootId> {
        let (own_load, slots) = self.members.get(&owner)?;
        let others = self.members.iter().filter(|(id, _)| **id != owner);
        let per_slot = |load: u64, slots: u64| load * 1_000 / slots;
        let (id, (other_load, other_slots)) =
            others.min_by_key(|(id, (load, slots))| (per_slot(*load, *slots), **id))?;
        let after = per_slot(other_load + load, *other_slots);
        (100 * after <= MAX_RECEIVER_PERCENT * per_slot(*own_load, *slots)).then_some(*id)
    }

    fn shift(&mut self, from: BootId, to: BootId, load: u64) {
        self.members.entry(from).and_modify(|(own, _)| *own = own.saturating_sub(load));
        self.members.entry(to).and_modify(|(other, _)| *other += load);
    }
}
