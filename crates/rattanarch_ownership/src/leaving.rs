//! Departure of this member.

use rattanarch_types::BootId;
use rattanarch_types::Moment;
use rattanarch_types::Record;

use crate::Departure;
use crate::balance::own_hot_keys;
use crate::core::Core;
use crate::delegation::Delegation;
use crate::membership::Membership;
use crate::release::Release;
use crate::takeovers::remove_member;
use crate::wait_reason::WaitReason;
use crate::witness::Witness;

/// Heartbeats for which a leaving member continues as a witness while owners replace it.
const WITNESS_HEARTBEATS: u32 = 5;

/// A member that leaves the service. It marks itself as leaving, waits until no owner depends on it
/// as a witness, releases everything and removes itself from the record. In this order its keys are
/// unserved only during the last update.
///
/// Its lease is renewed until it has left, since running requests need it.
#[derive(Debug)]
pub(crate) struct Leaving {
    pub(crate) member: Membership,
    /// When the record first showed the member as leaving.
    marked: Option<Moment>,
    /// Whether the departure was delegated. Other daemons may write it at any time.
    departing: bool,
    delegation: Delegation,
}

impl Leaving {
    pub(crate) fn new(member: Membership) -> Self {
        Self { member, marked: None, departing: false, delegation: Delegation::default() }
    }

    /// Whether the departure may have been written.
    pub(crate) fn may_have_left(&self, core: &Core) -> bool {
        self.departing || core.attempt.is_some()
    }

    /// Notes that member `by` declined to write a step of the departure.
    pub(crate) fn declined(&mut self, by: BootId) {
        self.delegation.declined(by);
    }

    /// Delegates `departure` to a daemon, and to another one if that one declines or fails.
    fn delegate(&mut self, core: &mut Core, now: Moment, departure: Departure) {
        if let Some(to) = self.delegation.next_delegate(core, now, Some(core.me)) {
            core.delegate(to, departure);
        }
    }

    /// Performs the step that is due.
    pub(crate) fn advance(&mut self, core: &mut Core, witness: &mut Witness, now: Moment) {
        self.member.maintain_lease(core, now);
        self.member.takeovers.advance(core, witness, now);
        self.member.release.take_if(|release| release.is_over(core));
        if let Some(release) =
            self.member.release.as_mut().filter(|release| release.is_delegated(core))
        {
            release.delegate(core, now);
        }
        let Some(record) = core.record.clone() else { return };
        if !record.members.get(&core.me).is_some_and(|own| own.leaving) {
            return self.mark(core, now);
        }
        if self.marked.is_none() {
            self.delegation = Delegation::default();
        }
        let marked = *self.marked.get_or_insert(now);
        if !is_dispensable(core, &record, now, marked) {
            return;
        }
        self.release_all(core, &record, now);
        if !self.is_drained(core, &record) {
            return;
        }
        if core.batching && own_hot_keys(core, &record).is_empty() {
            self.departing = true;
            let releasing = record.slices_of(core.me).collect();
            self.delegate(core, now, Departure::Leave { id: core.me, releasing });
        } else if core.can_write(now) && core.is_platform_reachable(now) {
            Self::leave(core, now);
        }
    }

    /// Begins to release everything that is owned, including what was assigned after the stop.
    fn release_all(&mut self, core: &mut Core, record: &Record, now: Moment) {
        let pending = self.member.release.as_ref().is_some_and(|release| release.is_pending(core));
        if pending || self.is_releasing_all(core, record) || !core.is_platform_reachable(now) {
            return;
        }
        let slices = record.slices_of(core.me).map(|slice| (slice, None)).collect();
        let keys = own_hot_keys(core, record);
        let before = self.member.release.take();
        self.member.start_release(core, now, (slices, keys), before.as_ref());
    }

    fn mark(&mut self, core: &mut Core, now: Moment) {
        if core.batching {
            return self.delegate(core, now, Departure::Mark { id: core.me });
        }
        if !core.can_write(now) || !core.is_platform_reachable(now) {
            return;
        }
        let mut draft = core.draft();
        if let Some(own) = draft.members.get_mut(&core.me) {
            own.leaving = true;
        }
        core.write(now, draft);
    }

    /// Whether no request is running, and everything that is owned is being released.
    fn is_drained(&self, core: &Core, record: &Record) -> bool {
        let drained = self.member.release.as_ref().is_none_or(Release::is_drained);
        drained && self.is_releasing_all(core, record)
    }

    fn is_releasing_all(&self, core: &Core, record: &Record) -> bool {
        let keys = own_hot_keys(core, record);
        let Some(release) = &self.member.release else {
            return record.slices_of(core.me).next().is_none() && keys.is_empty();
        };
        let slices = record.slices_of(core.me).all(|slice| release.slices.contains_key(&slice));
        slices && keys.keys().all(|key| release.keys.contains_key(key))
    }

    fn leave(core: &mut Core, now: Moment) {
        let mut draft = core.draft();
        remove_member(&mut draft, core.me);
        core.spread.assign_unowned(&mut draft, &core.excluded);
        core.write(now, draft);
    }

    /// What the departure waits for.
    pub(crate) fn wait_reason(&self, core: &Core, now: Moment) -> WaitReason {
        let Some(record) = &core.record else { return WaitReason::Platform };
        let Some(marked) = self.marked.filter(|_| !self.may_have_left(core)) else {
            return WaitReason::Platform;
        };
        if !is_dispensable(core, record, now, marked) {
            return WaitReason::Witnesses;
        }
        if self.is_drained(core, record) { WaitReason::Platform } else { WaitReason::Requests }
    }
}

/// Whether this member is no longer needed as a witness: no owner names it, or owners have had the
/// time to replace it.
fn is_dispensable(core: &Core, record: &Record, now: Moment, marked: Moment) -> bool {
    let limit = core.timing.heartbeat * WITNESS_HEARTBEATS;
    !is_witness(core, record) || now >= marked + limit
}

fn is_witness(core: &Core, record: &Record) -> bool {
    record.members.values().any(|member| member.witnesses.contains(&core.me))
}
