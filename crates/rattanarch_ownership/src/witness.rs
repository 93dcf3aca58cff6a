//! Witness side: acknowledgements of leases, and promises to seals.

use std::collections::BTreeMap;
use std::time::Duration;

use rattanarch_types::BootId;
use rattanarch_types::Moment;
use rattanarch_types::Record;
use rattanarch_types::Version;

use crate::Message;
use crate::core::Core;
use crate::joining::owns_anything;
use crate::joining::previous_boot;

/// What a witness remembers of one owner.
#[derive(Debug, Default)]
struct OwnerState {
    /// When a request of the owner was last acknowledged, or this node learned of its term.
    last_heard: Moment,
    /// When another witness last reported that it hears the owner.
    last_vouched: Moment,
    /// When a request of the owner was last acknowledged, which is after that request was sent.
    last_acked: Option<Moment>,
    /// Highest term that this witness has promised not to acknowledge; it only increases.
    sealed_term: Option<Version>,
    /// When this node learned of the owner, if the owner may have replaced a previous boot of its instance.
    replaced_at: Option<Moment>,
}

/// Memory of a witness. It is lost with the process, which is why a new process has a new boot id.
#[derive(Debug, Default)]
pub(crate) struct Witness {
    owners: BTreeMap<BootId, OwnerState>,
}

impl Witness {
    /// Handles a lease request of `owner` and returns the reply.
    pub(crate) fn renew(
        &mut self,
        core: &Core,
        now: Moment,
        owner: BootId,
        request: Renewal,
    ) -> Message {
        let record = core.version();
        if is_removed(core, owner, request.applied) {
            return Message::Refused { sealed: request.term, record };
        }
        let state = self.owners.entry(owner).or_default();
        if let Some(sealed) = state.sealed_term
            && sealed >= request.term
            && core.rules.keep_promises
        {
            return Message::Refused { sealed, record };
        }
        state.last_heard = now;
        state.last_acked = Some(now);
        let load = core.loads.get(&core.me).copied().unwrap_or_default();
        Message::Ack { term: request.term, sent: request.sent, record, load }
    }

    /// Handles a request to seal `owner` up to `term` and returns the reply.
    pub(crate) fn seal(
        &mut self,
        core: &Core,
        now: Moment,
        owner: BootId,
        term: Version,
        forced: bool,
    ) -> Message {
        // Only what it has heard itself counts: witnesses that passed on each other's reports would do so forever.
        if !forced && self.own_silence(core, now, owner) < core.timing.suspicion {
            return Message::Alive { owner };
        }
        let remaining = self.promise(core, now, owner, term);
        Message::Sealed { owner, term, remaining }
    }

    /// Promises to acknowledge no term of `owner` up to `term`. Returns how long the last acknowledgement, or one that a
    /// previous boot of the owner's instance had, may still count, on this clock.
    pub(crate) fn promise(
        &mut self,
        core: &Core,
        now: Moment,
        owner: BootId,
        term: Version,
    ) -> Duration {
        let state = self.owners.entry(owner).or_default();
        state.sealed_term = state.sealed_term.max(Some(term));
        let lease = core.timing.with_drift(core.timing.lease);
        let lapse = state.last_acked.map(|acked| acked + lease).unwrap_or_default();
        lapse.max(self.predecessor_lapse(core, owner)).saturating_sub(now)
    }

    /// When everything that a previous boot of the owner's instance granted has ended on the slowest clock; zero if
    /// `owner` has replaced none as far as this node knows.
    ///
    /// The upstream goes on holding what that boot granted, until that boot's lease ends, while the owner may have no
    /// lease yet. The previous boot got no lease after it was replaced, which was before this node learned of it.
    pub(crate) fn predecessor_lapse(&self, core: &Core, owner: BootId) -> Moment {
        let replaced_at = self.owners.get(&owner).and_then(|state| state.replaced_at);
        let replaced_at = replaced_at.filter(|_| core.rules.wait_out_predecessor);
        let lease = core.timing.with_drift(core.timing.lease);
        replaced_at.map(|learned| learned + lease).unwrap_or_default()
    }

    /// Counts that another witness hears `owner`.
    pub(crate) fn vouch(&mut self, now: Moment, owner: BootId) {
        self.owners.entry(owner).or_default().last_vouched = now;
    }

    /// How long nothing was heard from `owner`, by this node or by one that vouched for it, without the time before this
    /// node knew the owner or before this process last resumed from a pause.
    pub(crate) fn silence(&self, core: &Core, now: Moment, owner: BootId) -> Duration {
        let vouched = self.owners.get(&owner).map(|state| state.last_vouched).unwrap_or_default();
        self.own_silence(core, now, owner).min(now.saturating_sub(vouched))
    }

    /// The same, by what this node has heard itself.
    fn own_silence(&self, core: &Core, now: Moment, owner: BootId) -> Duration {
        let heard = self.owners.get(&owner).map(|state| state.last_heard).unwrap_or_default();
        now.saturating_sub(heard.max(core.resumed_at))
    }

    /// Forgets owners that are gone in the `new` record, counts those with a new term as heard, and notes those that may
    /// have replaced a previous boot.
    pub(crate) fn apply(&mut self, now: Moment, old: Option<&Record>, new: &Record) {
        if let Some(old) = old {
            for id in new.members.keys().filter(|id| may_have_replaced(old, new, **id)) {
                let state = self.owners.entry(*id).or_default();
                // An acknowledgement shows that the owner had replaced the previous boot by then.
                state.replaced_at = Some(state.last_acked.unwrap_or(now));
            }
        }
        let empty = BTreeMap::new();
        let old = old.map_or(&empty, |old| &old.members);
        for gone in old.keys().filter(|id| !new.members.contains_key(id)) {
            self.owners.remove(gone);
        }
        for (id, member) in &new.members {
            let term = old.get(id).map(|member| member.term);
            if term != Some(member.term) {
                self.owners.entry(*id).or_default().last_heard = now;
            }
        }
    }
}

/// The parts of a lease request that determine the reply.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Renewal {
    pub(crate) term: Version,
    pub(crate) sent: Moment,
    pub(crate) applied: Version,
}

/// Whether `id`, which is not in the `old` record, may have replaced an owner of its instance since. A boot in a version
/// between the two, if versions were skipped, may have been replaced as well.
///
/// The first record that a node knows shows no replacement, and need not: a member that joined before is witnessed by
/// this node only under a term that a majority of the witnesses acknowledged after it had joined.
fn may_have_replaced(old: &Record, new: &Record, id: BootId) -> bool {
    let Some(member) = new.members.get(&id).filter(|_| !old.members.contains_key(&id)) else {
        return false;
    };
    let skipped = new.version > old.version + 1;
    let previous = previous_boot(old, &member.instance);
    let replaced = previous.is_some_and(|previous| owns_anything(old, previous));
    (skipped || replaced) && owns_anything(new, id)
}

/// Whether `owner` has left or was removed, as opposed to being unknown here so far.
fn is_removed(core: &Core, owner: BootId, applied: Version) -> bool {
    let Some(record) = &core.record else { return false };
    record.version >= applied && !record.members.contains_key(&owner)
}
