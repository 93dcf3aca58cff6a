//! Departure of a member, written to the record by the member itself or by a batching daemon.

use std::collections::BTreeSet;

use rattanarch_placement::Spread;
use rattanarch_types::BootId;
use rattanarch_types::Record;
use rattanarch_types::SliceId;
use serde::Deserialize;
use serde::Serialize;

use crate::takeovers::remove_member;

/// A step of a member's departure. A member never withdraws a step that it has asked for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Departure {
    /// Marks the member as leaving.
    Mark {
        /// Boot id of the member.
        id: BootId,
    },
    /// Removes the member.
    Leave {
        /// Boot id of the member.
        id: BootId,
        /// Slices that it owns but does not serve any more. The member stays while it owns any
        /// other.
        #[serde(rename = "held")]
        releasing: BTreeSet<SliceId>,
    },
}

impl Departure {
    /// Boot id of the member.
    pub(crate) fn id(&self) -> BootId {
        match self {
            Self::Mark { id } | Self::Leave { id, .. } => *id,
        }
    }

    /// Whether nothing is left to write, given `record`.
    pub(crate) fn is_settled(&self, record: &Record) -> bool {
        let Some(member) = record.members.get(&self.id()) else { return true };
        matches!(self, Self::Mark { .. }) && member.leaving
    }
}

/// Applies to `draft` those of `departures` that are permitted, and assigns the slices of removed
/// members to others. Returns the number of departures applied.
pub fn apply_departures<'a>(
    draft: &mut Record,
    departures: impl IntoIterator<Item = &'a Departure>,
    spread: Spread,
    excluded: &BTreeSet<BootId>,
) -> usize {
    let (mut marked, mut left) = (0, 0);
    for departure in departures {
        match departure {
            Departure::Mark { id } => {
                let member = draft.members.get_mut(id).filter(|member| !member.leaving);
                marked += usize::from(member.is_some());
                member.into_iter().for_each(|member| member.leaving = true);
            }
            Departure::Leave { id, releasing } if may_leave(draft, *id, releasing) => {
                remove_member(draft, *id);
                left += 1;
            }
            Departure::Leave { .. } => {}
        }
    }
    if left > 0 {
        spread.assign_unowned(draft, excluded);
    }
    marked + left
}

/// Whether `member` is leaving and owns nothing but the slices in `releasing`.
fn may_leave(record: &Record, member: BootId, releasing: &BTreeSet<SliceId>) -> bool {
    let leaving = record.members.get(&member).is_some_and(|member| member.leaving);
    let keys = record.hot.values().any(|owner| *owner == member);
    leaving && !keys && record.slices_of(member).all(|slice| releasing.contains(&slice))
}
