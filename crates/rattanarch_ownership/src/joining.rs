//! A node before it is a member.

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
    /// Previous boot of the same instance, which must end first.
    pub(crate) previous: Option<BootId>,
    /// When to send the first update; it is random, to spread the updates of nodes that start together.
    start: Option<Moment>,
    /// Latest request for a fence.
    fence_request: Option<FenceRequest>,
    /// Previous boot that the upstream has fenced off since the record showed it.
    ///
    /// A fence taken earlier is not enough: an upstream that restarts forgets it, and a newer process of the instance
    /// may then join with a lower one.
    fenced_boot: Option<BootId>,
    delegation: Delegation,
}

/// A request for a fence against a previous boot.
#[derive(Debug)]
struct FenceRequest {
    previous: BootId,
    above: Fence,
    /// When to repeat the request.
    retry_at: Moment,
}

impl Joining {
    /// Reads the record, then writes this node into it.
    pub(crate) fn advance(&mut self, core: &mut Core, now: Moment) {
        let Some(record) = core.record.clone() else { return core.request_read(now) };
        let old = previous_boot(&record, &core.member.instance);
        self.previous = old.filter(|old| !self.may_replace(core, now, &record, *old));
        if let Some(old) = self.previous {
            return self.await_previous(core, now, &record, old);
        }
        if !self.may_start(core, now, old.is_some()) {
            return;
        }
        if core.batching {
            return self.delegate(core, now, old);
        }
        if core.can_write(now) && core.has_reread(now) {
            let draft = draft(core, now, old);
            core.write(now, draft);
        }
    }

    /// Delegates the join to a daemon.
    fn delegate(&mut self, core: &mut Core, now: Moment, old: Option<BootId>) {
        if let Some(to) = self.delegation.next_delegate(core, now, old) {
            let ended = old.is_some_and(|old| self.has_ended(core, now, old));
            core.delegate(to, join_request(core, old, ended));
        }
    }

    /// Whether a daemon may still write this node into the record.
    pub(crate) fn is_delegated(&self, now: Moment) -> bool {
        self.delegation.is_pending(now)
    }

    /// Handles the refusal of member `by` to write this node into the record.
    pub(crate) fn declined(&mut self, by: BootId) {
        self.delegation.declined(by);
    }

    /// Whether the random delay before the first update is over. The successor of a previous boot does not wait for it,
    /// since what that one owns is not served meanwhile.
    fn may_start(&mut self, core: &mut Core, now: Moment, is_successor: bool) -> bool {
        let spread = core.timing.join_spread;
        let start = *self.start.get_or_insert_with(|| now + core.rng.jitter(spread * 2) - spread);
        is_successor || now >= start
    }

    /// Waits for the end of the previous boot: its witnesses take it over, or the upstream, having lost its memory of
    /// fences, takes one above that boot's.
    fn await_previous(&mut self, core: &mut Core, now: Moment, record: &Record, old: BootId) {
        core.request_read_every(now, core.timing.heartbeat * 2);
        let above = record.members.get(&old).map(|member| member.fence).unwrap_or_default();
        let request = self.fence_request.as_ref();
        let recently =
            request.is_some_and(|request| request.previous == old && now < request.retry_at);
        if core.member.fence > 0 && above > 0 && !recently {
            let above = above.max(core.member.fence);
            self.fence_request =
                Some(FenceRequest { previous: old, above, retry_at: now + ANSWER_TIMEOUT });
            core.actions.push(Action::Fence { above });
        }
    }

    /// Handles the upstream's acceptance of `fence`.
    pub(crate) fn fence_taken(&mut self, fence: Fence) {
        if let Some(request) = self.fence_request.as_ref().filter(|request| fence > request.above) {
            self.fenced_boot = Some(request.previous);
        }
    }

    /// Whether this node may replace its previous boot: the upstream refuses that one's requests, it owns nothing, or an
    /// operator has declared it lost and its lease has lapsed since.
    fn may_replace(&self, core: &Core, now: Moment, record: &Record, old: BootId) -> bool {
        !owns_anything(record, old) || self.has_ended(core, now, old)
    }

    /// Whether the previous boot can no longer serve anything, whatever it owns.
    fn has_ended(&self, core: &Core, now: Moment, old: BootId) -> bool {
        let fenced = self.fenced_boot == Some(old) || !core.rules.fence_first;
        fenced || core.is_lapsed(now, old)
    }
}

/// Whether `member` owns a slice or a hot key.
pub(crate) fn owns_anything(record: &Record, member: BootId) -> bool {
    record.owners.contains(&Some(member)) || record.hot.values().any(|id| *id == member)
}

/// The member of `instance` in the record, which is a previous boot of a process that is no member yet.
pub(crate) fn previous_boot(record: &Record, instance: &str) -> Option<BootId> {
    record.members.iter().find(|(_, member)| member.instance == instance).map(|(id, _)| *id)
}

/// The next record, with this node in it, in place of `old` if given.
fn draft(core: &mut Core, now: Moment, old: Option<BootId>) -> Record {
    let mut record = core.draft();
    let fresh = core.recently_joined(now);
    // The draft is of the same record by which the node may replace `old`.
    let request = join_request(core, old, true);
    apply_joins(&mut record, [&request], &core.excluded, &fresh);
    if core.spread == Spread::Even {
        core.spread.assign_unowned(&mut record, &core.excluded);
    }
    // Otherwise members assign the slices once joins have settled: the first to join would get all of them, and each
    // move to another member interrupts service for a while.
    record
}

fn join_request(core: &Core, old: Option<BootId>, ended: bool) -> JoinRequest {
    JoinRequest { id: core.me, member: core.member.clone(), old, ended }
}
