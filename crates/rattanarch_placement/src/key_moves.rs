//! Which hot keys an overloaded member gives away.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rattanarch_types::BootId;
use rattanarch_types::KeyHash;
use rattanarch_types::Record;

/// Keys that one plan moves at most.
pub const MAX_KEY_MOVES: usize = 2;
/// Hot keys that a record holds at most, since each takes some 40 bytes of the platform's megabyte.
pub const MAX_HOT_KEYS: usize = 256;

/// Percent of the mean load at which a member is overloaded.
const OVERLOAD_PERCENT: u64 = 125;
/// Requests a second and slot below which a member is not overloaded, whatever others bear: with
/// 10 ms a request it is a tenth of what the slot can do, and a moving key pauses.
const BUSY_RATE: u64 = 10;
/// A receiver must stay this far below the giver, in percent, or the key would soon come back.
const MARGIN_PERCENT: u64 = 90;

/// Hot keys that `owner` should give to less loaded members, hottest first; at most
/// [`MAX_KEY_MOVES`].
///
/// `keys` are requests a second of the owner's keys, `loads` those of members that the owner knows
/// of: its witnesses and those that it witnesses, a sample spread over the service. Loads count by
/// slot. A key moves only if it makes the more loaded of the two clearly less so; one key that is
/// more than a member bears alone stays where it is.
pub fn plan_key_moves(
    record: &Record,
    owner: BootId,
    barred: &BTreeSet<BootId>,
    keys: &BTreeMap<KeyHash, u32>,
    loads: &BTreeMap<BootId, u32>,
) -> Vec<(KeyHash, BootId)> {
    let mut loads = Loads::new(record, barred, loads);
    let mut moves = Vec::new();
    let mut hottest: Vec<_> =
        keys.iter().filter(|(key, _)| record.owner_of(**key) == Some(owner)).collect();
    hottest.sort_by_key(|(key, load)| (Reverse(**load), **key));
    let room = MAX_HOT_KEYS.saturating_sub(record.hot.len()).min(MAX_KEY_MOVES);
    for (key, load) in hottest {
        if moves.len() == room || !loads.is_overloaded(owner) {
            break;
        }
        if let Some(to) = loads.receiver(owner, u64::from(*load)) {
            loads.shift(owner, to, u64::from(*load));
            moves.push((*key, to));
        }
    }
    moves
}

/// Known loads of members that take part.
struct Loads {
    /// Requests a second and slots.
    members: BTreeMap<BootId, (u64, u64)>,
}

impl Loads {
    fn new(record: &Record, barred: &BTreeSet<BootId>, loads: &BTreeMap<BootId, u32>) -> Self {
        let able = record.members.iter().filter(|(id, m)| !m.leaving && !barred.contains(id));
        let known = able.filter_map(|(id, member)| {
            let load = u64::from(*loads.get(id)?);
            Some((*id, (load, u64::from(member.slots.max(1)))))
        });
        Self { members: known.collect() }
    }

    fn is_overloaded(&self, owner: BootId) -> bool {
        let Some((load, slots)) = self.members.get(&owner) else { return false };
        if *load < BUSY_RATE * slots {
            return false;
        }
        let total: u64 = self.members.values().map(|(load, _)| load).sum();
        let places: u64 = self.members.values().map(|(_, slots)| slots).sum();
        100 * load * places > OVERLOAD_PERCENT * total * slots
    }

    /// The least loaded member, if it stays below `owner` with `load` more.
    fn receiver(&self, owner: BootId, load: u64) -> Option<BootId> {
        let (given, slots) = self.members.get(&owner)?;
        let others = self.members.iter().filter(|(id, _)| **id != owner);
        let relative = |load: u64, slots: u64| load * 1_000 / slots;
        let (id, (taken, places)) =
            others.min_by_key(|(id, (load, slots))| (relative(*load, *slots), **id))?;
        let after = relative(taken + load, *places);
        (100 * after <= MARGIN_PERCENT * relative(*given, *slots)).then_some(*id)
    }

    fn shift(&mut self, from: BootId, to: BootId, load: u64) {
        self.members.entry(from).and_modify(|(given, _)| *given = given.saturating_sub(load));
        self.members.entry(to).and_modify(|(taken, _)| *taken += load);
    }
}
