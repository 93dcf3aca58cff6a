//! Request to join, written to the record by the node itself or by a batching daemon.

use std::collections::BTreeSet;

use rattanarch_placement::choose_live_witnesses;
use rattanarch_types::BootId;
use rattanarch_types::Member;
use rattanarch_types::Record;
use serde::Deserialize;
use serde::Serialize;

use crate::joining::owns_anything;
use crate::joining::previous_boot;

/// A node's request to become a member.
///
/// It is self-contained: whichever daemon writes it, however late, adds a member that its node
/// expects, or one whose node has ended and that is taken over like any other silent member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JoinRequest {
    /// Boot id of the node.
    pub id: BootId,
    /// The node's entry in the record; term, witnesses and leaving mark are ignored.
    pub member: Member,
    /// The previous boot of the instance, which the node may replace.
    pub old: Option<BootId>,
    /// Whether the previous boot serves nothing any more, whatever it owns. Otherwise the node may
    /// replace it only while it owns nothing.
    pub ended: bool,
}

/// Adds to `draft` the nodes of those `requests` that may still join, and chooses their witnesses,
/// preferably among members known to be `alive`. Returns the number of nodes added.
///
/// A request is skipped if its previous boot is not the one in the record, or has become an owner
/// since the request was made: the node has not verified the end of that one.
pub fn apply_joins<'a>(
    draft: &mut Record,
    requests: impl IntoIterator<Item = &'a JoinRequest>,
    excluded: &BTreeSet<BootId>,
    alive: &BTreeSet<BootId>,
) -> usize {
    let mut alive = alive.clone();
    let mut added = Vec::new();
    for request in requests {
        let is_member = draft.members.contains_key(&request.id);
        let old = previous_boot(draft, &request.member.instance);
        let may_serve = !request.ended && old.is_some_and(|old| owns_anything(draft, old));
        if is_member || old != request.old || may_serve {
            continue;
        }
        if let Some(old) = request.old {
            replace_member(draft, old, request.id);
        }
        let mut member = request.member.clone();
        member.term = draft.version;
        member.witnesses = Vec::new();
        member.leaving = false;
        draft.members.insert(request.id, member);
        alive.insert(request.id);
        added.push(request.id);
    }
    for id in &added {
        let witnesses = choose_live_witnesses(draft, *id, excluded, &alive);
        if let Some(member) = draft.members.get_mut(id) {
            member.witnesses = witnesses;
        }
    }
    added.len()
}

/// Replaces member `old` with `me`, which takes over its slices and hot keys.
fn replace_member(record: &mut Record, old: BootId, me: BootId) {
    record.members.remove(&old);
    let slices = record.owners.iter_mut().flatten();
    for owner in slices.chain(record.hot.values_mut()).filter(|owner| **owner == old) {
        *owner = me;
    }
}
