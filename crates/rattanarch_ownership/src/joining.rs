//! Before a node is a member.

use rattanarch_placement::Spread;
use rattanarch_types::BootId;
use rattanarch_types::Fence;
use rattanarch_types::Moment;
use rattanarch_types::Record;

use crate::Action;
use crate::JoinRequest;
use crate::apply_joins;
use crate::attempt::ANSWER_TIMEOUT;
use crate::core::Core;
use crate::delegation::Delegation;

/// A node that is not yet a member.
#[derive(Debug, Default)]
pub(crate) struct Joining {
    /// Older life of the same instance, which must end first.
    pub(crate) previous: Option<BootId>,
    /// When to send the first update; spreads those of nodes that start together.
    start: Option<Moment>,
    /// Fence asked for.
    asked: Option<Asked>,
    /// Older life that the upstream has fenced off after the record showed it.
    ///
    /// A fence taken earlier is not enough: an upstream that restarts forgets it, and a newer
    /// process of the slot may then join with a lower one.
    fenced: Option<BootId>,
    delegation: Delegation,
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
        let Some(record) = core.record.clone() else { return core.request_read(now) };
        let old = previous_boot(&record, &core.member.instance);
        self.previous = old.filter(|old| !self.may_succeed(core, now, &record, *old));
        if let Some(old) = self.previous {
            return self.wait(core, now, &record, old);
        }
        if !self.has_waited(core, now, old.is_some()) {
            return;
        }
        if core.batching {
            return self.ask(core, now, old);
        }
        if core.can_write(now) && core.has_reread(now) {
            let draft = draft(core, now, old);
            core.write(now, draft);
        }
    }

    /// Asks a daemon to write this node into the record.
    fn ask(&mut self, core: &mut Core, now: Moment, old: Option<BootId>) {
        if let Some(to) = self.delegation.next_delegate(core, now, old) {
            let ended = old.is_some_and(|old| self.has_ended(core, now, old));
            core.delegate(to, application(core, old, ended));
        }
    }

    /// Whether another daemon may still write this node into the record.
    pub(crate) fn is_delegated(&self, now: Moment) -> bool {
        self.delegation.is_pending(now)
    }

    /// Takes word of the member `to` that it does not gather.
    pub(crate) fn declined(&mut self, to: BootId) {
        self.delegation.declined(to);
    }

    /// Whether the spread is over. What an older life owns is not served meanwhile, so that its
    /// successor does not wait.
    fn has_waited(&mut self, core: &mut Core, now: Moment, urgent: bool) -> bool {
        let spread = core.timing.join_spread;
        let start = *self.start.get_or_insert_with(|| now + core.rng.jitter(spread * 2) - spread);
        urgent || now >= start
    }

    /// Waits for the end of the older life: its witnesses take it over, or the upstream, which has
    /// lost its memory of fences, takes one above the older life's.
    fn wait(&mut self, core: &mut Core, now: Moment, record: &Record, old: BootId) {
        core.request_read_every(now, core.timing.heartbeat * 2);
        let above = record.members.get(&old).map(|member| member.fence).unwrap_or_default();
        let asked = self.asked.as_ref();
        let recently = asked.is_some_and(|asked| asked.old == old && now < asked.again);
        if core.member.fence > 0 && above > 0 && !recently {
            let above = above.max(core.member.fence);
            self.asked = Some(Asked { old, above, again: now + ANSWER_TIMEOUT });
            core.actions.push(Action::Fence { above });
        }
    }

    /// Takes word of the upstream's fence.
    pub(crate) fn fence_taken(&mut self, fence: Fence) {
        if let Some(asked) = self.asked.as_ref().filter(|asked| fence > asked.above) {
            self.fenced = Some(asked.old);
        }
    }

    /// Whether this node may take the place of its old life: the upstream refuses that one's work,
    /// it owns nothing, or an operator has declared it lost and its lease has lapsed since.
    fn may_succeed(&self, core: &Core, now: Moment, record: &Record, old: BootId) -> bool {
        !owns_anything(record, old) || self.has_ended(core, now, old)
    }

    /// Whether its old life serves nothing any more, whatever it owns.
    fn has_ended(&self, core: &Core, now: Moment, old: BootId) -> bool {
        let fenced = self.fenced == Some(old) || !core.rules.fence_first;
        fenced || core.is_lapsed(now, old)
    }
}

/// Whether `member` owns a slice or a hot key.
pub(crate) fn owns_anything(record: &Record, member: BootId) -> bool {
    record.owners.contains(&Some(member)) || record.hot.values().any(|id| *id == member)
}

/// The member that is an older life of `instance`.
pub(crate) fn previous_boot(record: &Record, instance: &str) -> Option<BootId> {
    record.members.iter().find(|(_, member)| member.instance == instance).map(|(id, _)| *id)
}

/// The next record, with this node in it and in the place of `old`.
fn draft(core: &mut Core, now: Moment, old: Option<BootId>) -> Record {
    let mut record = core.draft();
    let fresh = core.recently_joined(now);
    // Drafted from the record by which the node may take its place.
    let application = application(core, old, true);
    apply_joins(&mut record, [&application], &core.barred, &fresh);
    if core.spread == Spread::Even {
        core.spread.assign_unowned(&mut record, &core.barred);
    }
    // Otherwise members deal slices once joins have settled: the first to join would get all, and moving
    // each away again leaves it unserved for a while.
    record
}

fn application(core: &Core, old: Option<BootId>, ended: bool) -> JoinRequest {
    JoinRequest { id: core.me, member: core.member.clone(), old, ended }
}
