//! Before a node is a member.

use rattanarch_placement::choose_witnesses;
use rattanarch_placement::fill;
use rattanarch_types::BootId;
use rattanarch_types::Moment;
use rattanarch_types::Record;

use crate::Action;
use crate::core::Core;

/// A node that is not yet a member.
#[derive(Debug, Default)]
pub(crate) struct Joining {
    /// Older life of the same instance, which must end first.
    pub(crate) old: Option<BootId>,
    /// Older life above whose fences a fence was asked for.
    asked: Option<BootId>,
}

impl Joining {
    /// Reads the record, then writes this node into it.
    pub(crate) fn advance(&mut self, core: &mut Core, now: Moment) {
        let Some(record) = core.record.clone() else { return core.read(now) };
        let old = old_life(&record, &core.member.instance);
        self.old = old.filter(|old| !may_succeed(core, now, &record, *old));
        if let Some(old) = self.old {
            return self.wait(core, now, &record, old);
        }
        if core.can_write(now) {
            let draft = draft(core, old);
            core.write(now, draft);
        }
    }

    /// Waits for the end of the older life: its witnesses take it over, or the upstream, which has
    /// lost its memory of fences, takes one above the older life's.
    fn wait(&mut self, core: &mut Core, now: Moment, record: &Record, old: BootId) {
        core.read(now);
        let above = record.members.get(&old).map(|member| member.fence).unwrap_or_default();
        if core.member.fence > 0 && above > 0 && self.asked != Some(old) {
            self.asked = Some(old);
            core.out.push(Action::Fence { above });
        }
    }
}

/// The member that is an older life of `instance`.
pub(crate) fn old_life(record: &Record, instance: &str) -> Option<BootId> {
    record.members.iter().find(|(_, member)| member.instance == instance).map(|(id, _)| *id)
}

/// Whether this node may take the place of its old life: the upstream refuses that one's work for
/// good, it owns nothing, or an operator has declared it lost and its lease has lapsed since.
fn may_succeed(core: &Core, now: Moment, record: &Record, old: BootId) -> bool {
    let owns = record.owners.contains(&Some(old)) || record.hot.values().any(|id| *id == old);
    let fence = record.members.get(&old).map(|member| member.fence).unwrap_or_default();
    let fenced = fence > 0 && core.member.fence > fence;
    !owns || fenced || core.is_lapsed(now, old)
}

/// The next record, with this node in it and in the place of `old`.
fn draft(core: &mut Core, old: Option<BootId>) -> Record {
    let mut record = core.draft();
    if let Some(old) = old {
        succeed(&mut record, old, core.me);
    }
    let mut member = core.member.clone();
    member.term = record.version;
    member.witnesses = Vec::new();
    member.leaving = false;
    record.members.insert(core.me, member);
    let witnesses = choose_witnesses(&record, core.me, &core.barred);
    if let Some(own) = record.members.get_mut(&core.me) {
        own.witnesses = witnesses;
    }
    fill(&mut record, &core.barred);
    record
}

fn succeed(record: &mut Record, old: BootId, me: BootId) {
    record.members.remove(&old);
    let slices = record.owners.iter_mut().flatten();
    for owner in slices.chain(record.hot.values_mut()).filter(|owner| **owner == old) {
        *owner = me;
    }
}
