//! A member on its way out.

use rattanarch_placement::fill;
use rattanarch_types::Moment;
use rattanarch_types::Record;

use crate::balance::all_keys;
use crate::core::Core;
use crate::membership::Membership;
use crate::release::Release;
use crate::takeovers::remove;
use crate::waits::Waits;
use crate::witness::Witness;

/// Heartbeats that a leaving member goes on as a witness while owners look for others.
const WITNESS_HEARTBEATS: u32 = 5;

/// A member that releases everything, then leaves the record.
///
/// Its lease goes on until it has left, since requests that run need it.
#[derive(Debug)]
pub(crate) struct Leaving {
    pub(crate) member: Membership,
    /// When the record first showed the member as leaving.
    marked: Option<Moment>,
}

impl Leaving {
    pub(crate) fn new(member: Membership) -> Self {
        Self { member, marked: None }
    }

    /// Does what is due.
    pub(crate) fn advance(&mut self, core: &mut Core, witness: &mut Witness, now: Moment) {
        self.member.keep_lease(core, now);
        self.member.takeovers.advance(core, witness, now);
        self.member.release.take_if(|release| release.is_over(core));
        let Some(record) = core.record.clone() else { return };
        self.hold(core, &record, now);
        if record.members.get(&core.me).is_some_and(|own| own.leaving) {
            self.marked = self.marked.or(Some(now));
        } else {
            Self::mark(core, now);
        }
        if self.may_leave(core, &record, now) && core.can_write(now) && core.is_reachable(now) {
            Self::leave(core, now);
        }
    }

    /// Holds all that is owned, also what came after the stop.
    fn hold(&mut self, core: &mut Core, record: &Record, now: Moment) {
        let pending = self.member.release.as_ref().is_some_and(|release| release.is_written(core));
        if pending || self.is_held(core, record) {
            return;
        }
        let slices = record.slices_of(core.me).collect();
        let keys = all_keys(core, record);
        self.member.begin_release(core, now, slices, keys);
    }

    fn mark(core: &mut Core, now: Moment) {
        if !core.can_write(now) || !core.is_reachable(now) {
            return;
        }
        let mut draft = core.draft();
        if let Some(own) = draft.members.get_mut(&core.me) {
            own.leaving = true;
        }
        core.write(now, draft);
    }

    /// Whether nothing runs, and no owner depends on this witness any more, for all that it has
    /// had the time to change.
    fn may_leave(&self, core: &Core, record: &Record, now: Moment) -> bool {
        let Some(marked) = self.marked else { return false };
        let patience = core.timing.heartbeat * WITNESS_HEARTBEATS;
        self.is_quiet(core, record) && (!is_witness(core, record) || now >= marked + patience)
    }

    /// Whether nothing runs here, and all that is owned is held.
    fn is_quiet(&self, core: &Core, record: &Record) -> bool {
        let quiet = self.member.release.as_ref().is_none_or(Release::is_quiet);
        quiet && self.is_held(core, record)
    }

    fn is_held(&self, core: &Core, record: &Record) -> bool {
        let keys = all_keys(core, record);
        let Some(release) = &self.member.release else {
            return record.slices_of(core.me).next().is_none() && keys.is_empty();
        };
        let slices = record.slices_of(core.me).all(|slice| release.slices.contains(&slice));
        slices && keys.keys().all(|key| release.keys.contains_key(key))
    }

    fn leave(core: &mut Core, now: Moment) {
        let mut draft = core.draft();
        remove(&mut draft, core.me);
        fill(&mut draft, &core.barred);
        core.write(now, draft);
    }

    /// What the departure waits for.
    pub(crate) fn waits(&self, core: &Core) -> Waits {
        let Some(record) = &core.record else { return Waits::Platform };
        if core.attempt.is_some() || self.marked.is_none() {
            return Waits::Platform;
        }
        if !self.is_quiet(core, record) {
            return Waits::Requests;
        }
        if is_witness(core, record) { Waits::Witnesses } else { Waits::Platform }
    }
}

fn is_witness(core: &Core, record: &Record) -> bool {
    record.members.values().any(|member| member.witnesses.contains(&core.me))
}
