//! Assignment of slices without an owner.

use rattanarch_placement::rendezvous_weight;
use rattanarch_types::Moment;
use rattanarch_types::Record;

use crate::core::Core;

/// Heartbeats for which slices without an owner wait at most for a stable record, so that members
/// that join together all get some. Longer than a fleet takes to join; limited, so that updates of
/// other kinds can't postpone the assignment for good.
const MAX_WAIT_HEARTBEATS: u32 = 6;

/// Assigns slices without an owner; members attempt it one after the other.
#[derive(Debug, Default)]
pub(crate) struct UnownedAssignment {
    /// Since when some slice has no owner.
    since: Option<Moment>,
}

impl UnownedAssignment {
    /// Assigns the slices if it is this member's turn.
    pub(crate) fn advance(&mut self, core: &mut Core, now: Moment) {
        let Some(record) = core.record.clone() else { return };
        if record.owners.iter().all(Option::is_some) {
            self.since = None;
            return;
        }
        let since = *self.since.get_or_insert(now);
        if !core.can_write(now) || now < earliest_write(core, &record, since) {
            return;
        }
        let mut draft = core.draft();
        core.spread.assign_unowned(&mut draft, &core.excluded);
        if draft.owners != record.owners && core.is_platform_reachable(now) {
            core.write(now, draft);
        }
    }
}

/// When this member may assign slices that have been without an owner `since`: a heartbeat after
/// the last change of the record, or at the latest when the maximum wait is over, plus a delay for
/// each member of higher rank.
fn earliest_write(core: &Core, record: &Record, since: Moment) -> Moment {
    let mut stable = core.applied_at + core.timing.heartbeat;
    if record.owners.iter().all(Option::is_none) {
        // Nothing is assigned yet: the first member to join would get everything.
        stable = stable.max(since + core.timing.join_spread + core.timing.heartbeat);
    }
    let latest = since + core.timing.heartbeat * MAX_WAIT_HEARTBEATS;
    // Once the maximum wait is over, the order no longer changes with the record's version.
    let seed = if stable < latest { record.version } else { 0 };
    let own_weight = rendezvous_weight(seed, core.me);
    let before =
        record.members.keys().filter(|id| rendezvous_weight(seed, **id) > own_weight).count();
    stable.min(latest) + core.timing.turn * before as u32
}
