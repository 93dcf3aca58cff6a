//! An owner's change of its own witnesses.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rattanarch_placement::choose_live_witnesses;
use rattanarch_placement::choose_witnesses;
use rattanarch_placement::rendezvous_weight;
use rattanarch_types::BootId;
use rattanarch_types::Member;
use rattanarch_types::Moment;
use rattanarch_types::Version;
use rattanarch_types::WriteId;

use crate::WitnessChange;
use crate::acks::Acks;
use crate::acks::majority_of;
use crate::core::Core;
use crate::delegation::Delegation;
use crate::lease::Lease;

/// How long a candidate that did not answer is passed over.
const SHUN_TIME: Duration = Duration::from_secs(5);

/// Owners that improve their witnesses spread over so many turns.
const IMPROVEMENT_TURNS: u64 = 32;
const IMPROVEMENT_TURN: Duration = Duration::from_millis(30);

/// Time between the turns of two owners that have a witness which is to go and still acknowledges: about an update's
/// round trip. With 60 owners, as when one of six data centres is taken out, within the time that a leaving member waits.
const PARTING_TURN: Duration = Duration::from_millis(40);

/// A new set of witnesses under a new term.
///
/// Its majority acknowledges the new term before the update is sent, so that the lease goes on
/// while the update's outcome is not known: until then both sets must acknowledge.
#[derive(Debug)]
pub(crate) struct Replacement {
    /// Term that is replaced.
    from: Version,
    /// Acknowledgements of the new term, the next version when it was chosen.
    pub(crate) acks: Acks,
    began: Moment,
    /// Whether the first requests for the new term were sent.
    asked: bool,
    /// This member's own update.
    write: Option<WriteId>,
    /// Whether daemons were asked to write it. They may do so as long as the member has the term that is replaced.
    petitioned: bool,
    delegation: Delegation,
}

impl Replacement {
    fn new(from: Version, acks: Acks, began: Moment) -> Self {
        let delegation = Delegation::default();
        Self { from, acks, began, asked: false, write: None, petitioned: false, delegation }
    }

    /// Whether it may take effect, or has done so without this node's knowing.
    fn is_pending(&self, core: &Core) -> bool {
        let awaited = self.petitioned && !self.is_settled(core);
        awaited || self.write.is_some_and(|write| core.is_pending(write))
    }

    /// Whether the member has another term than the one that is replaced.
    fn is_settled(&self, core: &Core) -> bool {
        core.own_member().is_none_or(|own| own.term != self.from)
    }

    /// Whether it can't take effect, or had better not. A gatherer's update may come some versions later.
    fn is_overtaken(&self, core: &Core) -> bool {
        let is_member =
            |id| core.record.as_ref().is_some_and(|record| record.members.contains_key(id));
        let late = !core.batching && self.acks.term != core.version() + 1;
        late || self.is_settled(core) || !self.acks.witnesses.iter().all(is_member)
    }

    /// Asks a daemon to write it, and others once that one has not helped.
    fn ask(&mut self, core: &mut Core, now: Moment) {
        self.petitioned = true;
        if let Some(to) = self.delegation.next_delegate(core, now, Some(core.me)) {
            let witnesses = self.acks.witnesses.clone();
            let (id, from, term) = (core.me, self.from, self.acks.term);
            core.delegate(to, WitnessChange { id, from, term, witnesses });
        }
    }

    /// Whether nothing was asked for it yet; true once.
    pub(crate) fn is_new(&mut self) -> bool {
        !std::mem::replace(&mut self.asked, true)
    }
}

/// The change under way, if any, and candidates that did not answer.
#[derive(Debug, Default)]
pub(crate) struct WitnessReplacer {
    pub(crate) change: Option<Replacement>,
    shunned: BTreeMap<BootId, Moment>,
    /// Whether a change is only waiting for the platform to answer.
    is_wanted: bool,
    /// When a change that is not urgent is due.
    turn: Option<Moment>,
    /// Since when a witness is to go that still acknowledges; `None` if there is none.
    parting: Option<Moment>,
    /// Record version for which the witnesses were last looked at.
    seen: Version,
}

impl WitnessReplacer {
    /// Whether the change may be in force without this node's knowing.
    pub(crate) fn is_pending(&self, core: &Core) -> bool {
        self.change.as_ref().is_some_and(|change| change.is_pending(core))
    }

    /// Takes word of the member `by` that it does not write the change.
    pub(crate) fn declined(&mut self, by: BootId) {
        if let Some(change) = &mut self.change {
            change.delegation.declined(by);
        }
    }

    /// Ends a change that was settled, overtaken or not answered.
    pub(crate) fn settle(&mut self, core: &Core, now: Moment) {
        if self.is_pending(core) {
            return;
        }
        let Some(change) = &self.change else { return };
        let overtaken = change.is_overtaken(core);
        let unanswered = now >= change.began + core.timing.heartbeat * 2;
        if unanswered {
            for silent in change.acks.silent_since(change.began + Duration::from_nanos(1)) {
                self.shunned.insert(silent, now + SHUN_TIME);
            }
        }
        if overtaken || unanswered || change.write.is_some() {
            self.change = None;
        }
    }

    /// Whether to look at the witnesses, apart from each heartbeat.
    pub(crate) fn is_due(&self, core: &Core, now: Moment) -> bool {
        let in_turn = self.turn.is_some_and(|turn| now >= turn);
        self.seen != core.version() || self.is_wanted || in_turn
    }

    /// Begins a change if the witnesses should be others, or the term another.
    pub(crate) fn begin(&mut self, core: &mut Core, lease: &Lease, now: Moment) {
        self.shunned.retain(|_, end| now < *end);
        // Dropped for its silence, a witness must not come back with the next improvement.
        let silent = silent(core, lease, now).into_iter().map(|id| (id, now + SHUN_TIME));
        self.shunned.extend(silent);
        self.seen = core.version();
        if self.change.is_some() || core.attempt.is_some() {
            return;
        }
        let Some(own) = core.own_member() else { return };
        let living = living(core, lease, now);
        let awaited = living.is_some();
        let wanted = living.unwrap_or_else(|| self.wanted(core));
        let from = own.term;
        let unchanged = same(&wanted, &own.witnesses);
        let parting = parting_turn(core).map(|wait| *self.parting.get_or_insert(now) + wait);
        if parting.is_none() {
            self.parting = None;
        }
        let parted = parting.is_some_and(|turn| now >= turn);
        let urgent = lease.refused || awaited || is_short(core, lease, now) || parted;
        let turn = if let Some(turn) = parting {
            turn
        } else if own.witnesses.len() < wanted.len() {
            completion_turn(core, wanted.len())
        } else {
            improvement_turn(core)
        };
        self.turn = (!unchanged).then_some(turn);
        self.is_wanted = !unchanged && (urgent || now >= turn) || lease.refused;
        if !self.is_wanted || !core.is_platform_reachable(now) {
            return;
        }
        let acks = Acks::new(now, core.version() + 1, wanted);
        self.change = Some(Replacement::new(from, acks, now));
    }

    /// Sends the update once the new witnesses have answered for as long as the lease lasts.
    ///
    /// The upstream may hold a grant that ends with the lease under the old term. A sealer of the
    /// new term waits out the acknowledgements of the new witnesses alone.
    pub(crate) fn write(&mut self, core: &mut Core, lease: &Lease, now: Moment) {
        let Some(change) = &mut self.change else { return };
        let newest = change.acks.majority_sent();
        let covered = newest >= lease.counted_from(core) || !core.rules.cover_grants;
        let answered = change.acks.witnesses.is_empty() || newest.is_some() && covered;
        if change.petitioned || answered && core.batching {
            // A lost witness is one of several owners.
            return change.ask(core, now);
        }
        if change.write.is_some() || !answered || !core.can_write(now) {
            return;
        }
        let mut draft = core.draft();
        let Some(own) = draft.members.get_mut(&core.me) else { return };
        own.term = change.acks.term;
        own.witnesses.clone_from(&change.acks.witnesses);
        change.write = Some(draft.write_id);
        core.write(now, draft);
    }

    /// The best witnesses that answer; without any, the best that exist.
    fn wanted(&self, core: &Core) -> Vec<BootId> {
        let Some(record) = core.record.as_deref() else { return Vec::new() };
        let mut excluded = core.barred.clone();
        excluded.extend(self.shunned.keys());
        for excluded in [&excluded, &core.barred, &BTreeSet::new()] {
            let wanted = choose_witnesses(record, core.me, excluded);
            if !wanted.is_empty() {
                return wanted;
            }
        }
        Vec::new()
    }
}

/// Witnesses of which a majority is known to be alive, for a member that has had no lease under its term and whose
/// own witnesses are not known to be; `None` if there are none such.
fn living(core: &Core, lease: &Lease, now: Moment) -> Option<Vec<BootId>> {
    if lease.counted_from(core).is_some() {
        return None;
    }
    let (record, own) = (core.record.as_deref()?, core.own_member()?);
    let fresh = core.recently_joined(now);
    let is_majority = |witnesses: &[BootId]| {
        let alive = witnesses.iter().filter(|id| fresh.contains(id)).count();
        majority_of(witnesses.len()).is_some_and(|needed| alive >= needed)
    };
    let living = choose_live_witnesses(record, core.me, &core.barred, &fresh);
    (!is_majority(&own.witnesses) && is_majority(&living)).then_some(living)
}

/// Whether the lease needs another witness at once: one is gone or silent, or there is none.
fn is_short(core: &Core, lease: &Lease, now: Moment) -> bool {
    let (Some(record), Some(own)) = (core.record.as_deref(), core.own_member()) else {
        return false;
    };
    own.witnesses.is_empty()
        || !own.witnesses.iter().all(|id| record.members.contains_key(id))
        || !silent(core, lease, now).is_empty()
}

/// How long this member lets others go first that have a witness which is leaving or barred; `None` if it has none
/// such. Without turns all of them write at the same version, and all but one lose the race, again and again.
fn parting_turn(core: &Core) -> Option<Duration> {
    let record = core.record.as_deref()?;
    let parts = |id: &BootId| {
        let leaves = record.members.get(id).is_some_and(|member| member.leaving);
        leaves || core.barred.contains(id)
    };
    let loses = |member: &Member| member.witnesses.iter().any(parts);
    let mine = rendezvous_weight(0, core.me);
    let losing = record.members.iter().filter(|(_, member)| loses(member));
    let before = losing.filter(|(id, _)| rendezvous_weight(0, **id) > mine).count();
    loses(core.own_member()?).then(|| PARTING_TURN * before as u32)
}

/// When a mere improvement is due: once the record has been left alone for a while, so that it does not
/// race with members that join.
fn improvement_turn(core: &Core) -> Moment {
    let turn = rendezvous_weight(core.version(), core.me) % IMPROVEMENT_TURNS;
    core.applied_at + core.timing.heartbeat + IMPROVEMENT_TURN * turn as u32
}

/// When a member with fewer than `full` witnesses asks for more. It joined while there were few members,
/// and a lone witness that is cut off takes it for lost: it waits for joins only, not for other updates.
fn completion_turn(core: &Core, full: usize) -> Moment {
    let members = core.record.iter().flat_map(|record| &record.members);
    let short = members.filter(|(_, member)| member.witnesses.len() < full);
    let mine = rendezvous_weight(0, core.me);
    let before = short.filter(|(id, _)| rendezvous_weight(0, **id) > mine).count();
    core.last_join + core.timing.heartbeat + IMPROVEMENT_TURN * before as u32
}

/// Witnesses that have not answered for two heartbeats and some of a third.
fn silent(core: &Core, lease: &Lease, now: Moment) -> Vec<BootId> {
    let silence = core.timing.heartbeat * 9 / 4;
    if now < core.resumed_at + silence {
        return Vec::new();
    }
    lease.acks.silent_since(now.saturating_sub(silence))
}

fn same(a: &[BootId], b: &[BootId]) -> bool {
    a.len() == b.len() && a.iter().all(|id| b.contains(id))
}
