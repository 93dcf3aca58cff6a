//! Witness side: acknowledgements of leases, and promises to seals.

use std::collections::BTreeMap;
use std::time::Duration;

use rattanarch_types::BootId;
use rattanarch_types::Moment;
use rattanarch_types::Record;
use rattanarch_types::Version;

use crate::Message;
use crate::core::Core;

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

    /// Promises to acknowledge no term of `owner` up to `term`. Returns how long the last acknowledgement may still
    /// count, on this clock.
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
        lapse.saturating_sub(now)
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

    /// Forgets owners that are gone in the `new` record, and counts those with a new term as heard.
    pub(crate) fn apply(&mut self, now: Moment, old: Option<&Record>, new: &Record) {
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

/// Whether `owner` has left or was removed, as opposed to being unknown here so far.
fn is_removed(core: &Core, owner: BootId, applied: Version) -> bool {
    let Some(record) = &core.record else { return false };
    record.version >= applied && !record.members.contains_key(&owner)
}
