//! Request to release slices, written to the record by the member itself or by a batching daemon.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rattanarch_placement::Spread;
use rattanarch_types::BootId;
use rattanarch_types::Record;
use rattanarch_types::SliceId;
use serde::Deserialize;
use serde::Serialize;

/// A member's request to give up slices, which it holds without serving them until a record shows
/// that this was done.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReleaseRequest {
    /// Boot id of the releasing member.
    pub id: BootId,
    /// The member's [`Member::releases`](rattanarch_types::Member::releases) at the time of the
    /// request. The release is applied only at this number, and so at most once.
    pub number: u64,
    /// Released slices, each with its next owner; `None` if any member may own it.
    pub slices: BTreeMap<SliceId, Option<BootId>>,
    /// Handovers that the upstream left for the next owners.
    pub handovers: BTreeMap<SliceId, String>,
    /// Slices that the member keeps and whose handover from the last owner it has read, so that the
    /// record can drop it.
    pub noted: Vec<SliceId>,
    /// Whether the member may own nothing. Its own daemon may be the only one that knows.
    #[serde(rename = "barred")]
    pub excluded: bool,
}

impl ReleaseRequest {
    /// Whether the release needs no further attempt: `record` shows a higher number of releases for the
    /// member, or no longer contains the member.
    pub(crate) fn is_settled(&self, record: &Record) -> bool {
        record.members.get(&self.id).is_none_or(|member| member.releases > self.number)
    }
}

/// Applies to `draft` those of `requests` that have their members' current numbers. Returns the
/// number of releases applied.
///
/// `excluded` names members that may own nothing, releasing ones among them. If no release is
/// applied, slices without an owner stay so: members assign them once joins have settled.
pub fn apply_releases<'a>(
    draft: &mut Record,
    requests: impl IntoIterator<Item = &'a ReleaseRequest>,
    spread: Spread,
    excluded: &BTreeSet<BootId>,
) -> usize {
    let mut done = Vec::new();
    for request in requests {
        let Some(member) = draft.members.get_mut(&request.id) else { continue };
        if member.releases != request.number {
            continue;
        }
        member.releases += 1;
        reassign_slices(draft, request, excluded);
        drop_read_handovers(draft, request);
        done.push(request);
    }
    if !done.is_empty() {
        spread.assign_unowned(draft, excluded);
    }
    for request in &done {
        store_handovers(draft, request);
    }
    done.len()
}

fn reassign_slices(draft: &mut Record, request: &ReleaseRequest, excluded: &BTreeSet<BootId>) {
    let may_own = |to: &BootId| {
        let stays = draft.members.get(to).is_some_and(|member| !member.leaving);
        stays && !excluded.contains(to)
    };
    for (slice, to) in &request.slices {
        let owner = draft.owners.get_mut(usize::from(*slice));
        if let Some(owner) = owner.filter(|owner| **owner == Some(request.id)) {
            *owner = to.filter(may_own);
        }
    }
}

/// Drops handovers that the releasing member has read. Its number is unchanged, so it has owned
/// these slices ever since it read them.
fn drop_read_handovers(draft: &mut Record, request: &ReleaseRequest) {
    for slice in &request.noted {
        if draft.owners.get(usize::from(*slice)) == Some(&Some(request.id)) {
            draft.handovers.remove(slice);
        }
    }
}

/// Stores the handovers of slices that have gone to another owner, and drops those of others.
fn store_handovers(draft: &mut Record, request: &ReleaseRequest) {
    for slice in request.slices.keys() {
        let owner = draft.owners.get(usize::from(*slice));
        let stays = owner.is_none_or(|owner| *owner == Some(request.id));
        match request.handovers.get(slice).filter(|_| !stays) {
            Some(handover) => drop(draft.handovers.insert(*slice, handover.clone())),
            None => drop(draft.handovers.remove(slice)),
        }
    }
}
