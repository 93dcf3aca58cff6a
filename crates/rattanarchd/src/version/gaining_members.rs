//! Members that gain slices or hot keys by a change of the record.

use std::collections::BTreeSet;

use rattanarch_types::BootId;
use rattanarch_types::Record;

/// Members that own a slice or hot key in `new` that they did not own in `old`, including those that get a key back
/// because it is no longer hot.
pub(crate) fn gaining_members(old: &Record, new: &Record) -> BTreeSet<BootId> {
    let slices = new.owners.iter().enumerate().filter_map(|(slice, owner)| {
        let before = old.owners.get(slice).copied().flatten();
        owner.filter(|owner| before != Some(*owner))
    });
    let hot = new.hot.iter().filter(|&(&key, &owner)| old.owner_of(key) != Some(owner));
    let cooled = old.hot.keys().filter(|key| !new.hot.contains_key(*key));
    let cooled = cooled.filter_map(|&key| new.owner_of(key));
    slices.chain(hot.map(|(_, owner)| *owner)).chain(cooled).collect()
}
