//! Change of a member's witnesses, written to the record by the member itself or by a batching
//! daemon.

use rattanarch_types::BootId;
use rattanarch_types::Record;
use rattanarch_types::Version;
use serde::Deserialize;
use serde::Serialize;

/// New witnesses for a member, a majority of which already acknowledges the new term.
///
/// Until a record shows the outcome, the member has a lease only while both sets acknowledge their
/// terms.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WitnessChange {
    /// Boot id of the member.
    pub id: BootId,
    /// Term that is replaced. The change is applied only to this term, and so at most once.
    pub from: Version,
    /// The new term: higher than `from`, and at most the version that is written.
    pub term: Version,
    /// Witnesses that acknowledge the new term.
    pub witnesses: Vec<BootId>,
}

impl WitnessChange {
    /// Whether `record` shows that the change was applied, or can't be any more.
    pub(crate) fn is_settled(&self, record: &Record) -> bool {
        record.members.get(&self.id).is_none_or(|member| member.term != self.from)
    }
}

/// Applies to `draft` those of `changes` whose members still have the replaced terms. Returns the
/// number of changes applied.
///
/// A witness that has left the record since is named all the same: the member depends on one of the
/// two sets being in the record, and sealers wait until the acknowledgements of a former witness
/// have expired.
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
