//! Replacement of an owner's own witnesses.

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

/// How long a witness or candidate that did not answer is excluded from the choice.
const EXCLUSION_TIME: Duration = Duration::from_secs(5);

/// Number of the staggered start times of owners that improve their witnesses, and the interval
/// between two of them.
const IMPROVEMENT_STEPS: u64 = 32;
const IMPROVEMENT_DELAY: Duration = Duration::from_millis(30);

/// Delay between consecutive owners that replace a leaving or excluded witness which still
/// acknowledges: about the round trip of one update. With 60 owners, as when one of six data
/// centres is evacuated, all of them finish while the leaving member still waits.
const DEPARTING_DELAY: Duration = Duration::from_millis(40);

/// A new set of witnesses under a new term.
///
/// A majority of the new set acknowledges the new term before the update is sent, so that the lease
/// goes on while the outcome of the update is unknown. Until it is known, both sets must
/// acknowledge.
#[derive(Debug)]
pub(crate) struct Replacement {
    /// Term that is replaced.
    from: Version,
    /// Acknowledgements of the new term, which was the next record version when the change began.
    pub(crate) acks: Acks,
    began: Moment,
    /// Whether the first requests for the new term were sent.
    requested: bool,
    /// Write id of this member's own update, once sent.
    write: Option<WriteId>,
    /// Whether the change was delegated. Other daemons may write it as long as the member has the
    /// replaced term.
    delegated: bool,
    delegation: Delegation,
}

impl Replacement {
    fn new(from: Version, acks: Acks, began: Moment) -> Self {
        let delegation = Delegation::default();
        Self { from, acks, began, requested: false, write: None, delegated: false, delegation }
    }

    /// Whether the change may still take effect, or may have done so without this node's knowledge.
    fn is_pending(&self, core: &Core) -> bool {
        let delegated = self.delegated && !self.is_settled(core);
        delegated || self.write.is_some_and(|write| core.is_pending(write))
    }

    /// Whether the member's term is no longer the replaced one.
    fn is_settled(&self, core: &Core) -> bool {
        core.own_member().is_none_or(|own| own.term != self.from)
    }

    /// Whether the change can't take effect any more, or should not. A batched update may be
    /// written some versions later, at a version that is not the new term.
    fn is_superseded(&self, core: &Core) -> bool {
        let is_member =
            |id| core.record.as_ref().is_some_and(|record| record.members.contains_key(id));
        let late = !core.batching && self.acks.term != core.version() + 1;
        late || self.is_settled(core) || !self.acks.witnesses.iter().all(is_member)
    }

    /// Delegates the change to a daemon, and to another one if that one declines or fails.
    fn delegate(&mut self, core: &mut Core, now: Moment) {
        self.delegated = true;
        if let Some(to) = self.delegation.next_delegate(core, now, Some(core.me)) {
            let witnesses = self.acks.witnesses.clone();
            let (id, from, term) = (core.me, self.from, self.acks.term);
            core.delegate(to, WitnessChange { id, from, term, witnesses });
        }
    }

    /// Whether the first requests for the new term are still to be sent; true once.
    pub(crate) fn is_new(&mut self) -> bool {
        !std::mem::replace(&mut self.requested, true)
    }
}

/// The change in progress, if any, and members that did not answer.
#[derive(Debug, Default)]
pub(crate) struct WitnessReplacer {
    pub(crate) change: Option<Replacement>,
    unresponsive: BTreeMap<BootId, Moment>,
    /// Whether a change is due; it begins once the platform is reachable.
    is_wanted: bool,
    /// When a change that is not urgent is due.
    due_at: Option<Moment>,
    /// Since when this member has had a leaving or excluded witness; `None` without one.
    departing_since: Option<Moment>,
    /// Record version at which the witnesses were last checked.
    checked: Version,
}

impl WitnessReplacer {
    /// Whether the change may be in force without this node's knowledge.
    pub(crate) fn is_pending(&self, core: &Core) -> bool {
        self.change.as_ref().is_some_and(|change| change.is_pending(core))
    }

    /// Notes that member `by` declined to write the change.
    pub(crate) fn declined(&mut self, by: BootId) {
        if let Some(change) = &mut self.change {
            change.delegation.declined(by);
        }
    }

    /// Ends a change that was settled, superseded or not acknowledged in time.
    pub(crate) fn settle(&mut self, core: &Core, now: Moment) {
        if self.is_pending(core) {
            return;
        }
        let Some(change) = &self.change else { return };
        let superseded = change.is_superseded(core);
        let unanswered = now >= change.began + core.timing.heartbeat * 2;
        if unanswered {
            for silent in change.acks.silent_since(change.began + Duration::from_nanos(1)) {
                self.unresponsive.insert(silent, now + EXCLUSION_TIME);
            }
        }
        if superseded || unanswered || change.write.is_some() {
            self.change = None;
        }
    }

    /// Whether to check the witnesses now, in addition to each heartbeat.
    pub(crate) fn is_due(&self, core: &Core, now: Moment) -> bool {
        let overdue = self.due_at.is_some_and(|due_at| now >= due_at);
        self.checked != core.version() || self.is_wanted || overdue
    }

    /// Begins a change if the witnesses or the term should be replaced.
    pub(crate) fn begin(&mut self, core: &mut Core, lease: &Lease, now: Moment) {
        self.unresponsive.retain(|_, end| now < *end);
        // A witness that was replaced for its silence must not be chosen again by the next
        // improvement.
        let silent = silent(core, lease, now).into_iter().map(|id| (id, now + EXCLUSION_TIME));
        self.unresponsive.extend(silent);
        self.checked = core.version();
        if self.change.is_some() || core.attempt.is_some() {
            return;
        }
        let Some(own) = core.own_member() else { return };
        let live = live_witnesses(core, lease, now);
        let recovering = live.is_some();
        let wanted = live.unwrap_or_else(|| self.wanted(core));
        let from = own.term;
        let unchanged = same_set(&wanted, &own.witnesses);
        let departing_due =
            departing_delay(core).map(|wait| *self.departing_since.get_or_insert(now) + wait);
        if departing_due.is_none() {
            self.departing_since = None;
        }
        let departing_overdue = departing_due.is_some_and(|due_at| now >= due_at);
        let urgent =
            lease.refused || recovering || needs_witness(core, lease, now) || departing_overdue;
        let due_at = if let Some(due_at) = departing_due {
            due_at
        } else if own.witnesses.len() < wanted.len() {
            completion_time(core, wanted.len())
        } else {
            improvement_time(core)
        };
        self.due_at = (!unchanged).then_some(due_at);
        self.is_wanted = !unchanged && (urgent || now >= due_at) || lease.refused;
        if !self.is_wanted || !core.is_platform_reachable(now) {
            return;
        }
        let acks = Acks::new(now, core.version() + 1, wanted);
        self.change = Some(Replacement::new(from, acks, now));
    }

    /// Writes the update once the acknowledgements of the new witnesses last as long as the current
    /// lease.
    ///
    /// The upstream may hold a grant that ends with the lease under the old term, whereas a
    /// takeover under the new term waits only until the acknowledgements of the new witnesses have expired.
    pub(crate) fn write(&mut self, core: &mut Core, lease: &Lease, now: Moment) {
        let Some(change) = &mut self.change else { return };
        let newest = change.acks.majority_sent();
        let covered = newest >= lease.counted_from(core) || !core.rules.cover_grants;
        let answered = change.acks.witnesses.is_empty() || newest.is_some() && covered;
        if change.delegated || answered && core.batching {
            // Owners share witnesses: others replace a lost one at the same time.
            return change.delegate(core, now);
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

    /// The best choice among members that answer; without any, the best among all.
    fn wanted(&self, core: &Core) -> Vec<BootId> {
        let Some(record) = core.record.as_deref() else { return Vec::new() };
        let mut avoided = core.excluded.clone();
        avoided.extend(self.unresponsive.keys());
        for excluded in [&avoided, &core.excluded, &BTreeSet::new()] {
            let wanted = choose_witnesses(record, core.me, excluded);
            if !wanted.is_empty() {
                return wanted;
            }
        }
        Vec::new()
    }
}

/// Witnesses of which a majority is known to be alive, for a member that has had no lease under its
/// term and whose current witnesses are not known to be alive. `None` if there is no such choice.
fn live_witnesses(core: &Core, lease: &Lease, now: Moment) -> Option<Vec<BootId>> {
    if lease.counted_from(core).is_some() {
        return None;
    }
    let (record, own) = (core.record.as_deref()?, core.own_member()?);
    let recent = core.recently_joined(now);
    let is_majority = |witnesses: &[BootId]| {
        let alive = witnesses.iter().filter(|id| recent.contains(id)).count();
        majority_of(witnesses.len()).is_some_and(|needed| alive >= needed)
    };
    let live = choose_live_witnesses(record, core.me, &core.excluded, &recent);
    (!is_majority(&own.witnesses) && is_majority(&live)).then_some(live)
}

/// Whether the lease needs another witness at once: one has left the record or is silent, or there
/// is none.
fn needs_witness(core: &Core, lease: &Lease, now: Moment) -> bool {
    let (Some(record), Some(own)) = (core.record.as_deref(), core.own_member()) else {
        return false;
    };
    own.witnesses.is_empty()
        || !own.witnesses.iter().all(|id| record.members.contains_key(id))
        || !silent(core, lease, now).is_empty()
}

/// How long this member waits for other members that also have a leaving or excluded witness; `None`
/// if it has no such witness.
///
/// Without staggered delays all of them write at the same version, and all but one lose the race,
/// again and again.
fn departing_delay(core: &Core) -> Option<Duration> {
    let record = core.record.as_deref()?;
    let departs = |id: &BootId| {
        let leaves = record.members.get(id).is_some_and(|member| member.leaving);
        leaves || core.excluded.contains(id)
    };
    let is_affected = |member: &Member| member.witnesses.iter().any(departs);
    let own_weight = rendezvous_weight(0, core.me);
    let affected = record.members.iter().filter(|(_, member)| is_affected(member));
    let before = affected.filter(|(id, _)| rendezvous_weight(0, **id) > own_weight).count();
    is_affected(core.own_member()?).then(|| DEPARTING_DELAY * before as u32)
}

/// When an improvement is due that is not urgent: after the record has been stable for a heartbeat,
/// so that it does not conflict with joining members.
fn improvement_time(core: &Core) -> Moment {
    let step = rendezvous_weight(core.version(), core.me) % IMPROVEMENT_STEPS;
    core.applied_at + core.timing.heartbeat + IMPROVEMENT_DELAY * step as u32
}

/// When a member with fewer than `full` witnesses asks for more. It joined while there were few
/// members, and a single witness that is cut off would take it over. It therefore waits only for
/// joins to settle, not for other updates.
fn completion_time(core: &Core, full: usize) -> Moment {
    let members = core.record.iter().flat_map(|record| &record.members);
    let short = members.filter(|(_, member)| member.witnesses.len() < full);
    let own_weight = rendezvous_weight(0, core.me);
    let before = short.filter(|(id, _)| rendezvous_weight(0, **id) > own_weight).count();
    core.last_join + core.timing.heartbeat + IMPROVEMENT_DELAY * before as u32
}

/// Witnesses that have not answered for 2.25 heartbeats.
fn silent(core: &Core, lease: &Lease, now: Moment) -> Vec<BootId> {
    let silence = core.timing.heartbeat * 9 / 4;
    if now < core.resumed_at + silence {
        return Vec::new();
    }
    lease.acks.silent_since(now.saturating_sub(silence))
}

fn same_set(a: &[BootId], b: &[BootId]) -> bool {
    a.len() == b.len() && a.iter().all(|id| b.contains(id))
}
