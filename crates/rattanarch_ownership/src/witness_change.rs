//! Change of a member's witnesses, written to the record by the member itself or by a batching
//! daemon.

use rattanarch_types::BootId;
use rattanarch_types::Record;
use rattanarch_types::Version;
use serde::Deserialize;
use serde::Serialize;

/// New witnesses for a member, a majority of which already acknowledges the new term.
///
/// Until a record shows whether the change was applied, the member has a lease only while a majority
/// of its old witnesses acknowledges the term `from` and a majority of `witnesses` acknowledges
/// `term`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WitnessChange {
    /// Boot id of the member.
    pub id: BootId,
    /// Term that is replaced. The change is applied only to this term, and so at most once.
    pub from: Version,
    /// The new term; higher than `from`, and not higher than the version of the record in which the
    /// change is stored.
    pub term: Version,
    /// Witnesses that acknowledge the new term.
    pub witnesses: Vec<BootId>,
}

impl WitnessChange {
    /// Whether the change needs no further attempt: `record` shows another term for the member, or no
    /// longer contains the member.
    pub(crate) fn is_settled(&self, record: &Record) -> bool {
        record.members.get(&self.id).is_none_or(|member| member.term != self.from)
    }
}

/// Applies to `draft` those of `changes` whose members still have the replaced terms. Returns the
/// number of changes applied.
///
/// A new witness that has left the record since the change was requested is stored as well: the
/// member counts its lease on the record listing either its old witnesses or exactly the new ones,
/// and no third set. This is safe, because a takeover that lacks the promise of a former member waits
/// until the last acknowledgement of that member has expired.
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
