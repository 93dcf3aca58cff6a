//! Removal of members whose leases have ended, written to the record by the node that sealed them
//! or by a batching daemon.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rattanarch_placement::Spread;
use rattanarch_types::BootId;
use rattanarch_types::Record;
use rattanarch_types::Version;
use serde::Deserialize;
use serde::Serialize;

use crate::takeovers::has_term;
use crate::takeovers::remove_member;

/// Members whose leases have expired and can't be renewed, as verified by the requesting node.
///
/// This holds permanently for the named term of each member. Writing a removal late or repeatedly
/// is therefore safe: it removes a member that serves nothing under that term, or has no effect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Removal {
    /// Boot id of the requesting node.
    pub id: BootId,
    /// Members to remove, each with the term for which it can't have a lease any more.
    pub members: BTreeMap<BootId, Version>,
    /// Members that the requesting node suspects to be down; slices preferably go to others.
    pub suspects: BTreeSet<BootId>,
}

impl Removal {
    /// Whether `record` contains none of the members under these terms.
    pub(crate) fn is_settled(&self, record: &Record) -> bool {
        !self.members.iter().any(|(id, term)| has_term(record, *id, *term))
    }
}

/// Removes from `draft` the members that still have the terms named in `removals`, and assigns
/// their slices to other members, preferably to those that no removal suspects. Returns the number
/// of members removed.
pub fn apply_removals<'a>(
    draft: &mut Record,
    removals: impl IntoIterator<Item = &'a Removal>,
    spread: Spread,
    excluded: &BTreeSet<BootId>,
) -> usize {
    let mut removed = 0;
    let mut avoided = excluded.clone();
    for removal in removals {
        avoided.extend(&removal.suspects);
        for (id, term) in &removal.members {
            if has_term(draft, *id, *term) {
                remove_member(draft, *id);
                removed += 1;
            }
        }
    }
    if removed > 0 {
        spread.assign_unowned(draft, &avoided);
        spread.assign_unowned(draft, excluded);
    }
    removed
}
