//! A member's change of its own witnesses, written into the record by itself or by another daemon.

use rattanarch_types::BootId;
use rattanarch_types::Record;
use rattanarch_types::Version;
use serde::Deserialize;
use serde::Serialize;

/// Other witnesses for a member, a majority of whom acknowledge the new term already.
///
/// Until a record shows what became of it, the member has a lease only while both sets acknowledge theirs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WitnessChange {
    /// Boot id of the member.
    pub id: BootId,
    /// Term that it replaces; it is done under this one alone, and so at most once.
    pub from: Version,
    /// The new term, higher than `from` and no higher than the version that is written.
    pub term: Version,
    /// Who acknowledges the new term.
    pub witnesses: Vec<BootId>,
}

impl WitnessChange {
    /// Whether `record` shows that it was done, or can't be any more.
    pub(crate) fn is_settled(&self, record: &Record) -> bool {
        record.members.get(&self.id).is_none_or(|member| member.term != self.from)
    }
}

/// Carries out in `draft` those of `changes` whose members still have the terms that they replace; returns how many.
///
/// A witness that has ended since is named all the same: the member depends on one of the two sets being in the
/// record, and sealers wait out what an ended witness has acknowledged.
pub fn apply_witness_changes<'a>(
    draft: &mut Record,
    changes: impl IntoIterator<Item = &'a WitnessChange>,
) -> usize {
    let mut done = 0;
    for change in changes {
        let member = draft.members.get_mut(&change.id);
        if let Some(member) = member.filter(|member| member.term == change.from) {
            member.term = change.term;
            member.witnesses.clone_from(&change.witnesses);
            done += 1;
        }
    }
    done
}
