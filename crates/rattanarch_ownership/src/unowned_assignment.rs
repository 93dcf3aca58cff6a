//! Slices without an owner.

use rattanarch_placement::rendezvous_weight;
use rattanarch_types::Moment;
use rattanarch_types::Record;

use crate::core::Core;

/// Heartbeats that slices wait for the record to be left alone, so that members that join together all
/// get some. Longer than a fleet takes to join; updates of other kinds must not put it off for good.
const PATIENCE_BEATS: u32 = 6;

/// Gives slices without an owner to members, by turns.
#[derive(Debug, Default)]
pub(crate) struct UnownedAssignment {
    /// Since when some slice has no owner.
    since: Option<Moment>,
}

impl UnownedAssignment {
    /// Deals the slices out if it is this member's turn.
    pub(crate) fn advance(&mut self, core: &mut Core, now: Moment) {
        let Some(record) = core.record.clone() else { return };
        if record.owners.iter().all(Option::is_some) {
            self.since = None;
            return;
        }
        let since = *self.since.get_or_insert(now);
        if !core.can_write(now) || now < turn(core, &record, since) {
            return;
        }
        let mut draft = core.draft();
        core.spread.assign_unowned(&mut draft, &core.barred);
        if draft.owners != record.owners && core.is_platform_reachable(now) {
            core.write(now, draft);
        }
    }
}

/// When this member may deal out slices that have been without an owner `since`: a heartbeat after the
/// last change of the record, or once patience is over, and then in an order drawn by rank.
fn turn(core: &Core, record: &Record, since: Moment) -> Moment {
    let mut settled = core.applied_at + core.timing.heartbeat;
    if record.owners.iter().all(Option::is_none) {
        // Nothing was dealt out yet: the first to join would get all.
        settled = settled.max(since + core.timing.join_spread + core.timing.heartbeat);
    }
    let latest = since + core.timing.heartbeat * PATIENCE_BEATS;
    // The order stays the same once patience is over, whatever versions come.
    let seed = if settled < latest { record.version } else { 0 };
    let mine = rendezvous_weight(seed, core.me);
    let before = record.members.keys().filter(|id| rendezvous_weight(seed, **id) > mine).count();
    settled.min(latest) + core.timing.turn * before as u32
}
