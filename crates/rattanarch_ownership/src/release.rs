//! An owner's handing over of its own slices and hot keys.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rattanarch_placement::Spread;
use rattanarch_types::BootId;
use rattanarch_types::KeyHash;
use rattanarch_types::Moment;
use rattanarch_types::Record;
use rattanarch_types::SliceId;
use rattanarch_types::WriteId;

use crate::Action;
use crate::ReleaseRequest;
use crate::apply_releases;
use crate::core::Core;
use crate::delegation::Delegation;

/// Slices and hot keys on their way out. They are held from the beginning until a record says who
/// owns them.
#[derive(Debug, Default)]
pub(crate) struct Release {
    /// Slices given up, with the member that is to own each; `None` if any may.
    pub(crate) slices: BTreeMap<SliceId, Option<BootId>>,
    /// Keys that move on their own, with the member that is to own them; `None` ends the split.
    pub(crate) keys: BTreeMap<KeyHash, Option<BootId>>,
    loud_slices: BTreeSet<SliceId>,
    loud_keys: BTreeSet<KeyHash>,
    /// What the upstream left of slices that are quiet.
    handovers: BTreeMap<SliceId, String>,
    /// This member's own update that hands them over.
    write: Option<WriteId>,
    /// Whether such an update has lost a race: others write too, so that one daemon had better write for all.
    contested: bool,
    /// [`Member::releases`](rattanarch_types::Member::releases) at which daemons were asked to write it. They may
    /// do so as long as the number stands.
    asked: Option<u64>,
    delegation: Delegation,
}

impl Release {
    /// Begins to release `slices` and `keys`. Asks for quiet, except for what `before`, which was
    /// held until this step, has asked for already.
    ///
    /// Word of quiet counts only for what was held ever since it was asked for, which is why a
    /// release that is not quiet yet is never dropped.
    pub(crate) fn begin(
        core: &mut Core,
        slices: BTreeMap<SliceId, Option<BootId>>,
        keys: BTreeMap<KeyHash, Option<BootId>>,
        before: Option<&Self>,
    ) -> Self {
        let nothing = Self::default();
        let before = before.unwrap_or(&nothing);
        let new_slices: Vec<_> =
            slices.keys().copied().filter(|slice| !before.slices.contains_key(slice)).collect();
        let new_keys: Vec<_> =
            keys.keys().copied().filter(|key| !before.keys.contains_key(key)).collect();
        let loud_slices = before.loud_slices.iter().chain(&new_slices).copied().collect();
        let loud_keys = before.loud_keys.iter().chain(&new_keys).copied().collect();
        if !new_slices.is_empty() || !new_keys.is_empty() {
            core.actions.push(Action::Drain { slices: new_slices, hot: new_keys });
        }
        let handovers = before.handovers.clone();
        let contested = before.has_lost(core);
        Self { slices, keys, loud_slices, loud_keys, handovers, contested, ..Self::default() }
    }

    /// Takes word that nothing runs any more for `slices` and `keys`.
    pub(crate) fn drained(
        &mut self,
        slices: &[SliceId],
        keys: &[KeyHash],
        handovers: BTreeMap<SliceId, String>,
    ) {
        self.handovers.extend(handovers);
        for slice in slices {
            self.loud_slices.remove(slice);
        }
        for key in keys {
            self.loud_keys.remove(key);
        }
    }

    /// Whether nothing runs for any of it.
    pub(crate) fn is_drained(&self) -> bool {
        self.loud_slices.is_empty() && self.loud_keys.is_empty()
    }

    /// Whether an update is sent, or asked for, that may still take effect.
    pub(crate) fn is_pending(&self, core: &Core) -> bool {
        self.write.is_some_and(|write| core.is_pending(write)) || self.is_delegated(core)
    }

    /// Whether this member's own update has lost a race.
    fn has_lost(&self, core: &Core) -> bool {
        self.write.is_some() && !self.is_pending(core) && self.write != core.accepted
    }

    /// Whether it has ended: the update took effect, or it did not and cannot any more.
    ///
    /// After a lost race the newer record decides whether another release begins, in the same
    /// step, so that nothing runs in between.
    pub(crate) fn is_over(&self, core: &Core) -> bool {
        (self.write.is_some() || self.asked.is_some()) && !self.is_pending(core)
    }

    /// Slices that an update that lost its race was to hand over, where slices are given up at
    /// certain times only: the upstream has given them up already. Those that an accepted update has dealt
    /// back to this member are settled.
    pub(crate) fn unsettled(&self, core: &Core) -> BTreeMap<SliceId, Option<BootId>> {
        if !self.has_lost(core) {
            return BTreeMap::new();
        }
        let Some(record) = core.record.as_ref().filter(|_| core.spread == Spread::ByLoad) else {
            return BTreeMap::new();
        };
        let is_mine =
            |slice: &SliceId| record.owners.get(usize::from(*slice)) == Some(&Some(core.me));
        self.slices.iter().filter(|(slice, _)| is_mine(slice)).map(|(s, to)| (*s, *to)).collect()
    }

    /// Sends the update once all is quiet, or has a daemon send it.
    pub(crate) fn write(&mut self, core: &mut Core, now: Moment) {
        if !self.is_drained() {
            return;
        }
        let crowded = self.contested || self.write.is_none() && core.contention.is_high(now);
        if self.is_delegated(core) || crowded && core.batching && self.keys.is_empty() {
            return self.delegate(core, now);
        }
        if self.is_pending(core) || !core.can_write(now) {
            return;
        }
        let mut draft = core.draft();
        self.hand_over(core, &mut draft);
        self.write = Some(draft.write_id);
        core.write(now, draft);
    }

    /// Asks a daemon to write it, and others once that one has not helped.
    pub(crate) fn delegate(&mut self, core: &mut Core, now: Moment) {
        let Some(own) = core.own_member() else { return };
        let number = *self.asked.get_or_insert(own.releases);
        if let Some(to) = self.delegation.next_delegate(core, now, Some(core.me)) {
            core.delegate(to, self.surrender(core, number));
        }
    }

    /// Takes word of the member `by` that it does not write it.
    pub(crate) fn declined(&mut self, by: BootId) {
        self.delegation.declined(by);
    }

    /// Whether a daemon was asked and may still write it.
    pub(crate) fn is_delegated(&self, core: &Core) -> bool {
        self.asked.is_some() && self.asked == core.own_member().map(|own| own.releases)
    }

    fn surrender(&self, core: &Core, number: u64) -> ReleaseRequest {
        let (slices, handovers) = (self.slices.clone(), self.handovers.clone());
        let noted = core.read_handovers().filter(|slice| !slices.contains_key(slice)).collect();
        let barred = core.barred.contains(&core.me);
        ReleaseRequest { id: core.me, number, slices, handovers, noted, barred }
    }

    /// Hands over in `draft` what this member owns of it.
    fn hand_over(&self, core: &Core, draft: &mut Record) {
        for (&key, to) in &self.keys {
            if draft.owner_of(key) == Some(core.me) {
                place(draft, key, *to);
            }
        }
        let number = core.own_member().map(|own| own.releases).unwrap_or_default();
        apply_releases(draft, [&self.surrender(core, number)], core.spread, &core.barred);
    }
}

fn place(draft: &mut Record, key: KeyHash, to: Option<BootId>) {
    draft.hot.remove(&key);
    let Some(to) = to.filter(|to| draft.members.contains_key(to)) else { return };
    if draft.owner_of(key) != Some(to) {
        draft.hot.insert(key, to);
    }
}
