//! Before a node is a member.

use rattanarch_placement::Spread;
use rattanarch_placement::choose_living_witnesses;
use rattanarch_types::BootId;
use rattanarch_types::Fence;
use rattanarch_types::Moment;
use rattanarch_types::Record;

use crate::Action;
use crate::attempt::ANSWER_TIMEOUT;
use crate::core::Core;

/// A node that is not yet a member.
#[derive(Debug, Default)]
pub(crate) struct Joining {
    /// Older life of the same instance, which must end first.
    pub(crate) old: Option<BootId>,
    /// When to send the first update; spreads those of nodes that start together.
    start: Option<Moment>,
    /// Fence asked for.
    asked: Option<Asked>,
    /// Older life that the upstream has fenced off after the record showed it.
    ///
    /// A fence taken earlier is not enough: an upstream that restarts forgets it, and a newer
    /// process of the slot may then join with a lower one.
    fenced: Option<BootId>,
}

/// A fence asked for against an older life.
#[derive(Debug)]
struct Asked {
    old: BootId,
    above: Fence,
    /// When to ask again.
    again: Moment,
}

impl Joining {
    /// Reads the record, then writes this node into it.
    pub(crate) fn advance(&mut self, core: &mut Core, now: Moment) {
        let Some(record) = core.record.clone() else { return core.read(now) };
        let old = old_life(&record, &core.member.instance);
        self.old = old.filter(|old| !self.may_succeed(core, now, &record, *old));
        if let Some(old) = self.old {
            return self.wait(core, now, &record, old);
        }
        if core.can_write(now) && self.has_waited(core, now, old.is_some()) && core.has_reread(now)
        {
            let draft = draft(core, now, old);
            core.write(now, draft);
        }
    }

    /// Whether the spread is over. What an older life owns is not served meanwhile, so that its
    /// successor does not wait.
    fn has_waited(&mut self, core: &mut Core, now: Moment, urgent: bool) -> bool {
        let spread = core.timing.join_spread;
        let start = *self.start.get_or_insert_with(|| now + core.draws.jitter(spread * 2) - spread);
        urgent || now >= start
    }

    /// Waits for the end of the older life: its witnesses take it over, or the upstream, which has
    /// lost its memory of fences, takes one above the older life's.
    fn wait(&mut self, core: &mut Core, now: Moment, record: &Record, old: BootId) {
        core.read_every(now, core.timing.heartbeat * 2);
        let above = record.members.get(&old).map(|member| member.fence).unwrap_or_default();
        let asked = self.asked.as_ref();
        let recently = asked.is_some_and(|asked| asked.old == old && now < asked.again);
        if core.member.fence > 0 && above > 0 && !recently {
            let above = above.max(core.member.fence);
            self.asked = Some(Asked { old, above, again: now + ANSWER_TIMEOUT });
            core.out.push(Action::Fence { above });
        }
    }

    /// Takes word of the upstream's fence.
    pub(crate) fn fence(&mut self, fence: Fence) {
        if let Some(asked) = self.asked.as_ref().filter(|asked| fence > asked.above) {
            self.fenced = Some(asked.old);
        }
    }

    /// Whether this node may take the place of its old life: the upstream refuses that one's work,
    /// it owns nothing, or an operator has declared it lost and its lease has lapsed since.
    fn may_succeed(&self, core: &Core, now: Moment, record: &Record, old: BootId) -> bool {
        let owns = record.owners.contains(&Some(old)) || record.hot.values().any(|id| *id == old);
        let fenced = self.fenced == Some(old) || !core.rules.fence_first;
        !owns || fenced || core.is_lapsed(now, old)
    }
}

/// The member that is an older life of `instance`.
pub(crate) fn old_life(record: &Record, instance: &str) -> Option<BootId> {
    record.members.iter().find(|(_, member)| member.instance == instance).map(|(id, _)| *id)
}

/// The next record, with this node in it and in the place of `old`.
fn draft(core: &mut Core, now: Moment, old: Option<BootId>) -> Record {
    let mut record = core.draft();
    if let Some(old) = old {
        succeed(&mut record, old, core.me);
    }
    let mut member = core.member.clone();
    member.term = record.version;
    member.witnesses = Vec::new();
    member.leaving = false;
    record.members.insert(core.me, member);
    let witnesses = choose_living_witnesses(&record, core.me, &core.barred, &core.fresh(now));
    if let Some(own) = record.members.get_mut(&core.me) {
        own.witnesses = witnesses;
    }
    if core.spread == Spread::Even {
        core.spread.fill(&mut record, &core.barred);
    }
    // Otherwise members deal slices once joins have settled: the first to join would get all, and moving
    // each away again leaves it unserved for a while.
    record
}

fn succeed(record: &mut Record, old: BootId, me: BootId) {
    record.members.remove(&old);
    let slices = record.owners.iter_mut().flatten();
    for owner in slices.chain(record.hot.values_mut()).filter(|owner| **owner == old) {
        *owner = me;
    }
}
