//! A node's wish to become a member, written into the record by itself or by another daemon.

use std::collections::BTreeSet;

use rattanarch_placement::choose_live_witnesses;
use rattanarch_types::BootId;
use rattanarch_types::Member;
use rattanarch_types::Record;
use serde::Deserialize;
use serde::Serialize;

use crate::joining::owns_anything;
use crate::joining::previous_boot;

/// A node that may join.
///
/// It stands on its own: whoever writes it, and however late, adds a member that its node expects, or one that
/// has ended and is taken over like any other that falls silent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JoinRequest {
    /// Boot id of the node.
    pub id: BootId,
    /// What the record is to say of it; term, witnesses and leaving mark are ignored.
    pub member: Member,
    /// The older life of its instance that the node may take the place of.
    pub old: Option<BootId>,
    /// Whether that life serves nothing any more, whatever it owns. Otherwise the node takes its place only while
    /// it owns nothing.
    pub ended: bool,
}

/// Adds those of `applications` to `draft` that may still join, and chooses their witnesses, first among
/// members known to be `alive`; returns how many were added.
///
/// An application whose older life is not the one in the record is passed over, and so is one whose older life has
/// come to own something: its node has not made sure of that one's end.
pub fn apply_joins<'a>(
    draft: &mut Record,
    applications: impl IntoIterator<Item = &'a JoinRequest>,
    barred: &BTreeSet<BootId>,
    alive: &BTreeSet<BootId>,
) -> usize {
    let mut alive = alive.clone();
    let mut added = Vec::new();
    for application in applications {
        let is_member = draft.members.contains_key(&application.id);
        let old = previous_boot(draft, &application.member.instance);
        let may_serve = !application.ended && old.is_some_and(|old| owns_anything(draft, old));
        if is_member || old != application.old || may_serve {
            continue;
        }
        if let Some(old) = application.old {
            succeed(draft, old, application.id);
        }
        let mut member = application.member.clone();
        member.term = draft.version;
        member.witnesses = Vec::new();
        member.leaving = false;
        draft.members.insert(application.id, member);
        alive.insert(application.id);
        added.push(application.id);
    }
    for id in &added {
        let witnesses = choose_live_witnesses(draft, *id, barred, &alive);
        if let Some(member) = draft.members.get_mut(id) {
            member.witnesses = witnesses;
        }
    }
    added.len()
}

/// Puts `me` into the place of `old`.
fn succeed(record: &mut Record, old: BootId, me: BootId) {
    record.members.remove(&old);
    let slices = record.owners.iter_mut().flatten();
    for owner in slices.chain(record.hot.values_mut()).filter(|owner| **owner == old) {
        *owner = me;
    }
}
