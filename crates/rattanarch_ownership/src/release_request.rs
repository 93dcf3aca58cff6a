//! A member's wish to give slices away, written into the record by itself or by another daemon.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rattanarch_placement::Spread;
use rattanarch_types::BootId;
use rattanarch_types::Record;
use rattanarch_types::SliceId;
use serde::Deserialize;
use serde::Serialize;

/// Slices that a member gives up. It holds them, without serving them, until a record shows that this was done.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReleaseRequest {
    /// Boot id of the giver.
    pub id: BootId,
    /// The giver's [`Member::releases`](rattanarch_types::Member::releases) when it wished for this; it is done
    /// at this number alone, and so at most once.
    pub number: u64,
    /// Slices given up, with the member that is to own each; `None` if any may.
    pub slices: BTreeMap<SliceId, Option<BootId>>,
    /// What the upstream left of them for their next owner.
    pub handovers: BTreeMap<SliceId, String>,
    /// Slices that the giver keeps and has taken note of what the last owner left of: the record need not bear
    /// that any longer.
    pub noted: Vec<SliceId>,
    /// Whether the giver is to own nothing. Its own daemon may be the only one that knows.
    pub barred: bool,
}

impl ReleaseRequest {
    /// Whether `record` shows that it was done, or can't be any more.
    pub(crate) fn is_settled(&self, record: &Record) -> bool {
        record.members.get(&self.id).is_none_or(|giver| giver.releases > self.number)
    }
}

/// Carries out in `draft` those of `surrenders` that are made at their givers' present numbers; returns how many.
///
/// `barred` names those that are to own nothing, givers among them. Without any surrender, slices that have no owner
/// stay so: members deal them out once joins have settled.
pub fn apply_releases<'a>(
    draft: &mut Record,
    surrenders: impl IntoIterator<Item = &'a ReleaseRequest>,
    spread: Spread,
    barred: &BTreeSet<BootId>,
) -> usize {
    let mut done = Vec::new();
    for surrender in surrenders {
        let Some(giver) = draft.members.get_mut(&surrender.id) else { continue };
        if giver.releases != surrender.number {
            continue;
        }
        giver.releases += 1;
        take_slices(draft, surrender, barred);
        drop_noted(draft, surrender);
        done.push(surrender);
    }
    if !done.is_empty() {
        spread.assign_unowned(draft, barred);
    }
    for surrender in &done {
        leave_handovers(draft, surrender);
    }
    done.len()
}

fn take_slices(draft: &mut Record, surrender: &ReleaseRequest, barred: &BTreeSet<BootId>) {
    let able = |to: &BootId| {
        let stays = draft.members.get(to).is_some_and(|member| !member.leaving);
        stays && !barred.contains(to)
    };
    for (slice, to) in &surrender.slices {
        let owner = draft.owners.get_mut(usize::from(*slice));
        if let Some(owner) = owner.filter(|owner| **owner == Some(surrender.id)) {
            *owner = to.filter(able);
        }
    }
}

/// The number stands, so that the giver has owned these slices ever since it took note.
fn drop_noted(draft: &mut Record, surrender: &ReleaseRequest) {
    for slice in &surrender.noted {
        if draft.owners.get(usize::from(*slice)) == Some(&Some(surrender.id)) {
            draft.handovers.remove(slice);
        }
    }
}

/// Leaves what upstreams said of slices that have gone to another owner, and of no others.
fn leave_handovers(draft: &mut Record, surrender: &ReleaseRequest) {
    for slice in surrender.slices.keys() {
        let owner = draft.owners.get(usize::from(*slice));
        let stays = owner.is_none_or(|owner| *owner == Some(surrender.id));
        match surrender.handovers.get(slice).filter(|_| !stays) {
            Some(handover) => drop(draft.handovers.insert(*slice, handover.clone())),
            None => drop(draft.handovers.remove(slice)),
        }
    }
}
