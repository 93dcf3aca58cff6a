//! Takeovers by this node of owners that are silent or declared lost.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rattanarch_placement::rendezvous_weight;
use rattanarch_types::BootId;
use rattanarch_types::Member;
use rattanarch_types::Moment;
use rattanarch_types::Record;
use rattanarch_types::SliceId;
use rattanarch_types::Version;

use crate::Message;
use crate::Removal;
use crate::apply_removals;
use crate::core::Core;
use crate::delegation::Delegation;
use crate::takeover::AnyTakeover;
use crate::takeover::Sealing;
use crate::takeover::Takeover;
use crate::witness::Witness;

/// Delay between the first attempts of consecutive nodes that may take over the same owner.
const RANK_DELAY: Duration = Duration::from_millis(100);

/// Takeovers in progress.
#[derive(Debug, Default)]
pub(crate) struct Takeovers {
    by_owner: BTreeMap<BootId, AnyTakeover>,
    /// Delegation of those that are ready.
    delegation: Delegation,
}

impl Takeovers {
    /// Begins takeovers, moves them on, and writes those that are ready.
    pub(crate) fn advance(&mut self, core: &mut Core, witness: &mut Witness, now: Moment) {
        let Some(record) = core.record.clone() else { return };
        self.by_owner.retain(|owner, takeover| has_term(&record, *owner, takeover.term()));
        let me = core.me;
        for (owner, member) in record.members.iter().filter(|(owner, _)| **owner != me) {
            self.begin(core, witness, now, *owner, member);
        }
        self.request_promises(core, witness, now);
        for (owner, takeover) in std::mem::take(&mut self.by_owner) {
            self.by_owner.insert(owner, takeover.advance(now));
        }
        self.write_removal(core, witness, now);
    }

    fn begin(
        &mut self,
        core: &mut Core,
        witness: &Witness,
        now: Moment,
        owner: BootId,
        member: &Member,
    ) {
        if core.lost.contains_key(&owner) {
            return self.begin_lost(core, witness, now, owner, member);
        }
        if self.by_owner.contains_key(&owner) {
            return;
        }
        let Some(eligible) = eligible_sealers(core, member) else { return };
        let delay = rank_delay(owner, core.me, &eligible);
        let silence = witness.silence(core, now, owner);
        if silence < core.timing.suspicion * 3 / 4 + delay {
            return;
        }
        // Checking the platform before the suspicion time is over avoids waiting for it afterwards.
        let reachable = core.is_platform_reachable(now);
        if reachable && silence >= core.timing.suspicion + delay {
            let lapse = witness.predecessor_lapse(core, owner);
            let takeover = Takeover::new(member.term, member.witnesses.clone(), lapse);
            self.by_owner.insert(owner, AnyTakeover::Sealing(takeover));
            let silence = silence.as_millis() as u64;
            log::info!(owner:% = member.instance, member = owner, term = member.term,
                record = core.version(), silence_ms = silence, witnesses = member.witnesses.len();
                "owner suspected");
        }
    }

    /// Begins the takeover of an owner that was declared lost. Its witnesses are asked at once;
    /// after a lease the operator's declaration replaces the promises of those that do not answer.
    fn begin_lost(
        &mut self,
        core: &Core,
        witness: &Witness,
        now: Moment,
        owner: BootId,
        member: &Member,
    ) {
        let lapse = witness.predecessor_lapse(core, owner);
        let takeover = Takeover::new(member.term, member.witnesses.clone(), lapse);
        let current = self.by_owner.entry(owner).or_insert(AnyTakeover::Sealing(takeover));
        let eligible: Vec<_> = core.record.iter().flat_map(|r| r.members.keys()).copied().collect();
        let delay = rank_delay(owner, core.me, &eligible);
        let lapsed = core.is_lapsed(now.saturating_sub(delay), owner);
        if lapsed && matches!(current, AnyTakeover::Sealing(_)) {
            *current = AnyTakeover::ready_by_declaration(member.term);
        }
    }

    fn request_promises(&mut self, core: &mut Core, witness: &mut Witness, now: Moment) {
        for (owner, current) in &mut self.by_owner {
            let AnyTakeover::Sealing(takeover) = current else { continue };
            for ended in takeover.stage.witnesses.clone() {
                if let Some(lapse) = core.lapse_of_ended(ended) {
                    takeover.promise(ended, lapse);
                }
            }
            let forced = core.lost.contains_key(owner);
            add_own_promise(core, witness, now, *owner, takeover, forced);
            if now < takeover.stage.next {
                continue;
            }
            takeover.stage.next = now + core.timing.heartbeat / 2;
            let message = Message::Seal { owner: *owner, term: takeover.term, forced };
            for to in takeover.stage.witnesses.clone() {
                if to != core.me {
                    core.send(to, message);
                }
            }
        }
    }

    /// Records a witness's promise; its remaining time counts from receipt.
    pub(crate) fn promised(&mut self, core: &Core, now: Moment, from: BootId, promise: Promise) {
        let Some(AnyTakeover::Sealing(takeover)) = self.by_owner.get_mut(&promise.owner) else {
            return;
        };
        if takeover.term <= promise.term {
            takeover.promise(from, lapse(core, now, promise.remaining));
        }
    }

    /// Cancels the takeover of an owner that another witness has heard from.
    pub(crate) fn vouched(
        &mut self,
        core: &Core,
        witness: &mut Witness,
        now: Moment,
        owner: BootId,
    ) {
        if matches!(self.by_owner.get(&owner), Some(AnyTakeover::Sealing(_))) {
            self.by_owner.remove(&owner);
            witness.vouch(now, owner);
            log::info!(member = owner, record = core.version(); "takeover cancelled: owner is alive");
        }
    }

    /// Removes all owners that are ready in one update. While other nodes write as well, delegates
    /// this to a batching daemon.
    fn write_removal(&mut self, core: &mut Core, witness: &Witness, now: Moment) {
        let ready =
            self.by_owner.iter().filter(|(_, takeover)| matches!(takeover, AnyTakeover::Ready(_)));
        let members: BTreeMap<_, _> = ready.map(|(id, takeover)| (*id, takeover.term())).collect();
        if members.is_empty() {
            self.delegation = Delegation::default();
            return;
        }
        // If several owners are silent, other nodes probably remove them too.
        if core.batching && (self.by_owner.len() > 1 || core.contention.is_high(now)) {
            if let Some(to) = self.delegation.next_delegate(core, now, Some(core.me)) {
                core.delegate(to, self.removal(core, witness, now, members));
            }
            return;
        }
        if !core.can_write(now) {
            return;
        }
        let removal = self.removal(core, witness, now, members);
        for owner in removal.members.keys() {
            let own = core.record.as_ref().and_then(|record| record.members.get(owner));
            let name = own.map_or("", |member| &*member.instance);
            log::info!(owner:% = name, member = owner, record = core.version(); "removing owner from the record");
        }
        let mut draft = core.draft();
        apply_removals(&mut draft, [&removal], core.spread, &core.excluded);
        core.write(now, draft);
    }

    /// The removal of `members`, which are ready.
    fn removal(
        &self,
        core: &Core,
        witness: &Witness,
        now: Moment,
        members: BTreeMap<BootId, Version>,
    ) -> Removal {
        Removal { id: core.me, members, suspects: self.suspects(core, witness, now) }
    }

    /// Notes that member `by` declined to write the removal.
    pub(crate) fn declined(&mut self, by: BootId) {
        self.delegation.declined(by);
    }

    /// Members that should not receive slices if others can: those under takeover, and those silent
    /// to this node for two heartbeats.
    fn suspects(&self, core: &Core, witness: &Witness, now: Moment) -> BTreeSet<BootId> {
        let members = core.record.iter().flat_map(|record| &record.members);
        let watched = members.filter(|(_, member)| member.witnesses.contains(&core.me));
        let silent = watched
            .map(|(id, _)| *id)
            .filter(|id| witness.silence(core, now, *id) >= core.timing.heartbeat * 2);
        silent.chain(self.by_owner.keys().copied()).collect()
    }
}

/// Members that may take over `member`; `None` if this node may not. These are its witnesses, or
/// every other member once no witness is a member any more: its lease can't be renewed under its
/// term then, whether it is alive or not.
fn eligible_sealers(core: &Core, member: &Member) -> Option<Vec<BootId>> {
    if member.witnesses.contains(&core.me) {
        return Some(member.witnesses.clone());
    }
    let orphaned = !member.witnesses.is_empty()
        && member.witnesses.iter().all(|witness| core.ended_witnesses.contains_key(witness));
    orphaned.then(|| core.record.iter().flat_map(|r| r.members.keys()).copied().collect())
}

/// A witness's promise to acknowledge no term of `owner` up to `term`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Promise {
    pub(crate) owner: BootId,
    pub(crate) term: Version,
    pub(crate) remaining: Duration,
}

/// Removes `owner` from `record`; its slices are left without an owner.
pub(crate) fn remove_member(record: &mut Record, owner: BootId) {
    record.members.remove(&owner);
    record.hot.retain(|_, id| *id != owner);
    for (slice, slot) in record.owners.iter_mut().enumerate() {
        if *slot == Some(owner) {
            *slot = None;
            // The handover left for its upstream is outdated: the upstream may have served the
            // slice since.
            record.handovers.remove(&(slice as SliceId));
        }
    }
}

pub(crate) fn has_term(record: &Record, owner: BootId, term: Version) -> bool {
    record.members.get(&owner).is_some_and(|member| member.term == term)
}

/// Adds this node's own promise once no other one is missing; until then the owner may still renew
/// its lease.
fn add_own_promise(
    core: &Core,
    witness: &mut Witness,
    now: Moment,
    owner: BootId,
    takeover: &mut Takeover<Sealing>,
    forced: bool,
) {
    let suspected = forced || witness.silence(core, now, owner) >= core.timing.suspicion;
    let is_witness = takeover.stage.witnesses.contains(&core.me);
    if is_witness && suspected && takeover.has_majority_with(1) {
        let remaining = witness.promise(core, now, owner, takeover.term);
        takeover.promise(core.me, lapse(core, now, remaining));
    }
}

/// When `remaining`, measured by a witness's clock, has certainly passed by this node's clock.
fn lapse(core: &Core, now: Moment, remaining: Duration) -> Moment {
    if core.rules.wait_out_seal { now + core.timing.with_drift(remaining) } else { now }
}

/// How much longer `me` waits than the first of `nodes`, in rendezvous order for `owner`.
fn rank_delay(owner: BootId, me: BootId, nodes: &[BootId]) -> Duration {
    let own_weight = rendezvous_weight(owner, me);
    let before = nodes.iter().filter(|id| rendezvous_weight(owner, **id) > own_weight).count();
    RANK_DELAY * before as u32
}
