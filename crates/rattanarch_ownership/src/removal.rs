//! Members that a sealer may take out, written into the record by itself or by another daemon.

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

/// Members whose leases have lapsed and can't be renewed, as the node that asks has made sure.
///
/// That holds for a term of each, and for good: whoever writes it, however late and however often, takes out a
/// member that serves nothing under that term, or does nothing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Removal {
    /// Boot id of the node that asks.
    pub id: BootId,
    /// Members to take out, with the term for which each can't have a lease any more.
    pub members: BTreeMap<BootId, Version>,
    /// Members that the node does not hear: slices had better go to others.
    pub suspects: BTreeSet<BootId>,
}

impl Removal {
    /// Whether `record` has none of the members under those terms.
    pub(crate) fn is_settled(&self, record: &Record) -> bool {
        !self.members.iter().any(|(id, term)| has_term(record, *id, *term))
    }
}

/// Takes out of `draft` those members of `removals` that still have the terms for which it was made sure, and gives
/// their slices to others, first to those that nobody suspects; returns how many were taken out.
pub fn apply_removals<'a>(
    draft: &mut Record,
    removals: impl IntoIterator<Item = &'a Removal>,
    spread: Spread,
    barred: &BTreeSet<BootId>,
) -> usize {
    let mut removed = 0;
    let mut poor = barred.clone();
    for removal in removals {
        poor.extend(&removal.suspects);
        for (id, term) in &removal.members {
            if has_term(draft, *id, *term) {
                remove_member(draft, *id);
                removed += 1;
            }
        }
    }
    if removed > 0 {
        spread.assign_unowned(draft, &poor);
        spread.assign_unowned(draft, barred);
    }
    removed
}
