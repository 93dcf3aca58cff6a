//! Witness side: acknowledgements and promises.

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
struct Watched {
    /// When a request of the owner was last acknowledged, or this node met its term.
    heard: Moment,
    /// When another witness last vouched for it.
    vouched: Moment,
    /// When a request of the owner was last acknowledged; later than any such request's send.
    acked: Option<Moment>,
    /// Highest term that this witness has promised not to acknowledge. Only rises.
    sealed: Option<Version>,
}

/// Memory of a witness; lost with the process, which is why a new one has a new boot id.
#[derive(Debug, Default)]
pub(crate) struct Witness {
    owners: BTreeMap<BootId, Watched>,
}

impl Witness {
    /// Answers a lease request of `owner`, which has applied record version `applied`.
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
        let watched = self.owners.entry(owner).or_default();
        if let Some(sealed) = watched.sealed
            && sealed >= request.term
            && core.rules.keep_promises
        {
            return Message::Refused { sealed, record };
        }
        watched.heard = now;
        watched.acked = Some(now);
        let load = core.loads.get(&core.me).copied().unwrap_or_default();
        Message::Ack { term: request.term, sent: request.sent, record, load }
    }

    /// Answers a request to seal `owner` up to `term`.
    pub(crate) fn seal(
        &mut self,
        core: &Core,
        now: Moment,
        owner: BootId,
        term: Version,
        forced: bool,
    ) -> Message {
        // Only what it has heard itself: witnesses that vouched for each other's word would do so for good.
        if !forced && self.unheard(core, now, owner) < core.timing.suspicion {
            return Message::Alive { owner };
        }
        let remaining = self.promise(core, now, owner, term);
        Message::Sealed { owner, term, remaining }
    }

    /// Promises to acknowledge no term of `owner` up to `term`. Returns how long the last
    /// acknowledgement may still count, on this clock.
    pub(crate) fn promise(
        &mut self,
        core: &Core,
        now: Moment,
        owner: BootId,
        term: Version,
    ) -> Duration {
        let watched = self.owners.entry(owner).or_default();
        watched.sealed = watched.sealed.max(Some(term));
        let lease = core.timing.with_drift(core.timing.lease);
        let lapse = watched.acked.map(|acked| acked + lease).unwrap_or_default();
        lapse.saturating_sub(now)
    }

    /// Notes that another witness has heard from `owner`.
    pub(crate) fn vouch(&mut self, now: Moment, owner: BootId) {
        self.owners.entry(owner).or_default().vouched = now;
    }

    /// How long nothing was heard from `owner`, by this node or one that vouched for it, leaving out the time before this node knew it and
    /// before this process was last paused.
    pub(crate) fn silence(&self, core: &Core, now: Moment, owner: BootId) -> Duration {
        let vouched = self.owners.get(&owner).map(|watched| watched.vouched).unwrap_or_default();
        self.unheard(core, now, owner).min(now.saturating_sub(vouched))
    }

    /// The same, by what this node has heard itself.
    fn unheard(&self, core: &Core, now: Moment, owner: BootId) -> Duration {
        let heard = self.owners.get(&owner).map(|watched| watched.heard).unwrap_or_default();
        now.saturating_sub(heard.max(core.resumed_at))
    }

    /// Forgets owners that have gone between two records, and meets those that came.
    pub(crate) fn apply(&mut self, now: Moment, old: Option<&Record>, new: &Record) {
        let empty = BTreeMap::new();
        let old = old.map_or(&empty, |old| &old.members);
        for gone in old.keys().filter(|id| !new.members.contains_key(id)) {
            self.owners.remove(gone);
        }
        for (id, member) in &new.members {
            let term = old.get(id).map(|member| member.term);
            if term != Some(member.term) {
                self.owners.entry(*id).or_default().heard = now;
            }
        }
    }
}

/// The parts of a lease request that its answer depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Renewal {
    pub(crate) term: Version,
    pub(crate) sent: Moment,
    pub(crate) applied: Version,
}

/// Whether `owner` has left or was taken out, rather than not yet being known here.
fn is_removed(core: &Core, owner: BootId, applied: Version) -> bool {
    let Some(record) = &core.record else { return false };
    record.version >= applied && !record.members.contains_key(&owner)
}
