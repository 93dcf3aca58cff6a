//! A member's wish to leave, written into the record by itself or by another daemon.

use std::collections::BTreeSet;

use rattanarch_placement::Spread;
use rattanarch_types::BootId;
use rattanarch_types::Record;
use rattanarch_types::SliceId;
use serde::Deserialize;
use serde::Serialize;

use crate::takeovers::remove_member;

/// A step of a member's way out. A member that has wished for one never takes it back.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Departure {
    /// To be known as one that leaves.
    Mark {
        /// Boot id of the member.
        id: BootId,
    },
    /// To be a member no longer.
    Leave {
        /// Boot id of the member.
        id: BootId,
        /// Slices that it holds without serving them. While it owns another one it stays.
        held: BTreeSet<SliceId>,
    },
}

impl Departure {
    /// Boot id of the member.
    pub(crate) fn id(&self) -> BootId {
        match self {
            Self::Mark { id } | Self::Leave { id, .. } => *id,
        }
    }

    /// Whether nothing is left to write by `record`.
    pub(crate) fn is_settled(&self, record: &Record) -> bool {
        let Some(member) = record.members.get(&self.id()) else { return true };
        matches!(self, Self::Mark { .. }) && member.leaving
    }
}

/// Carries out in `draft` those of `departures` that may be, and gives what is left to others; returns how many.
pub fn apply_departures<'a>(
    draft: &mut Record,
    departures: impl IntoIterator<Item = &'a Departure>,
    spread: Spread,
    barred: &BTreeSet<BootId>,
) -> usize {
    let (mut marked, mut left) = (0, 0);
    for departure in departures {
        match departure {
            Departure::Mark { id } => {
                let member = draft.members.get_mut(id).filter(|member| !member.leaving);
                marked += usize::from(member.is_some());
                member.into_iter().for_each(|member| member.leaving = true);
            }
            Departure::Leave { id, held } if holds_all(draft, *id, held) => {
                remove_member(draft, *id);
                left += 1;
            }
            Departure::Leave { .. } => {}
        }
    }
    if left > 0 {
        spread.assign_unowned(draft, barred);
    }
    marked + left
}

/// Whether `member` is on its way out and owns none but the slices that it holds.
fn holds_all(record: &Record, member: BootId, held: &BTreeSet<SliceId>) -> bool {
    let leaving = record.members.get(&member).is_some_and(|member| member.leaving);
    let keys = record.hot.values().any(|owner| *owner == member);
    leaving && !keys && record.slices_of(member).all(|slice| held.contains(&slice))
}
