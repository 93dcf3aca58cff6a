//! Choice of the members that watch the platform.

use std::collections::BTreeSet;

use rattanarch_types::BootId;
use rattanarch_types::Record;
use rattanarch_types::hash_key;

/// Number of members of a service that watch the platform; the others get changes from them by gossip.
/// Two, in different data centres if possible, so that the loss of one does not delay a change.
const WATCHER_COUNT: usize = 2;

/// Whether `me` watches the platform for the members of `record`.
///
/// A process that is not a member gets no gossip and therefore watches as well.
pub(crate) fn is_watcher(record: &Record, me: BootId) -> bool {
    if !record.members.contains_key(&me) {
        return true;
    }
    watchers(record).contains(&me)
}

fn watchers(record: &Record) -> Vec<BootId> {
    let mut ranked: Vec<_> = record.members.iter().collect();
    ranked.sort_by_key(|(boot, _)| (hash_key(&format!("watcher/{boot:x}")), **boot));
    let mut data_centres = BTreeSet::new();
    let (first, rest): (Vec<_>, Vec<_>) =
        ranked.into_iter().partition(|(_, member)| data_centres.insert(&member.data_centre));
    first.into_iter().chain(rest).take(WATCHER_COUNT).map(|(boot, _)| *boot).collect()
}
