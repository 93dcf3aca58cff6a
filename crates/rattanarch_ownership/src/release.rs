//! Planned release of an owner's slices and hot keys.

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

/// Slices and hot keys that are being released. They are not served from the
/// beginning until a record shows who owns them.
#[derive(Debug, Default)]
pub(crate) struct Release {
    /// Released slices, each with its next owner; `None` if any member may own it.
    pub(crate) slices: BTreeMap<SliceId, Option<BootId>>,
    /// Released hot keys, each with its next owner; `None` returns the key to its slice.
    pub(crate) keys: BTreeMap<KeyHash, Option<BootId>>,
    busy_slices: BTreeSet<SliceId>,
    busy_keys: BTreeSet<KeyHash>,
    /// Handovers that the upstream left for drained slices.
    handovers: BTreeMap<SliceId, String>,
    /// Write id of this member's own update, once sent.
    write: Option<WriteId>,
    /// Whether such an update has lost a race. Others write too then, and one daemon should write
    /// for all.
    contested: bool,
    /// [`Member::releases`](rattanarch_types::Member::releases) when the release was delegated.
    /// Other daemons may write it as long as the number is unchanged.
    delegated_number: Option<u64>,
    delegation: Delegation,
}

impl Release {
    /// Begins to release `slices` and `keys`. Has the daemon drain them, except for those that
    /// the previous release `before` is draining or has drained already.
    ///
    /// A drain counts only for what has not been served since the drain was requested. This is why a release
    /// that is not drained yet is never dropped.
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
        let busy_slices = before.busy_slices.iter().chain(&new_slices).copied().collect();
        let busy_keys = before.busy_keys.iter().chain(&new_keys).copied().collect();
        if !new_slices.is_empty() || !new_keys.is_empty() {
            core.actions.push(Action::Drain { slices: new_slices, hot: new_keys });
        }
        let handovers = before.handovers.clone();
        let contested = before.has_lost_race(core);
        Self { slices, keys, busy_slices, busy_keys, handovers, contested, ..Self::default() }
    }

    /// Notes that requests for `slices` and `keys` have ended.
    pub(crate) fn drained(
        &mut self,
        slices: &[SliceId],
        keys: &[KeyHash],
        handovers: BTreeMap<SliceId, String>,
    ) {
        self.handovers.extend(handovers);
        for slice in slices {
            self.busy_slices.remove(slice);
        }
        for key in keys {
            self.busy_keys.remove(key);
        }
    }

    /// Whether no request is running for anything that is released.
    pub(crate) fn is_drained(&self) -> bool {
        self.busy_slices.is_empty() && self.busy_keys.is_empty()
    }

    /// Whether an update was sent or delegated that may still take effect.
    pub(crate) fn is_pending(&self, core: &Core) -> bool {
        self.write.is_some_and(|write| core.is_pending(write)) || self.is_delegated(core)
    }

    /// Whether this member's own update has lost a race.
    fn has_lost_race(&self, core: &Core) -> bool {
        self.write.is_some() && !self.is_pending(core) && self.write != core.accepted
    }

    /// Whether the release has ended: its update took effect, or can no longer take effect.
    ///
    /// After a lost race the newer record decides, in the same step, whether another release
    /// begins, so that no request starts in between.
    pub(crate) fn is_over(&self, core: &Core) -> bool {
        (self.write.is_some() || self.delegated_number.is_some()) && !self.is_pending(core)
    }

    /// Slices of an update that has lost its race, where slices are given up at certain times only:
    /// the upstream has given them up already. Those that an accepted update has assigned to this
    /// member again are settled.
    pub(crate) fn unsettled(&self, core: &Core) -> BTreeMap<SliceId, Option<BootId>> {
        if !self.has_lost_race(core) {
            return BTreeMap::new();
        }
        let Some(record) = core.record.as_ref().filter(|_| core.spread == Spread::ByLoad) else {
            return BTreeMap::new();
        };
        let is_mine =
            |slice: &SliceId| record.owners.get(usize::from(*slice)) == Some(&Some(core.me));
        self.slices.iter().filter(|(slice, _)| is_mine(slice)).map(|(s, to)| (*s, *to)).collect()
    }

    /// Writes the update once everything is drained, or delegates it.
    pub(crate) fn write(&mut self, core: &mut Core, now: Moment) {
        if !self.is_drained() {
            return;
        }
        let contended = self.contested || self.write.is_none() && core.contention.is_high(now);
        if self.is_delegated(core) || contended && core.batching && self.keys.is_empty() {
            return self.delegate(core, now);
        }
        if self.is_pending(core) || !core.can_write(now) {
            return;
        }
        let mut draft = core.draft();
        self.apply(core, &mut draft);
        self.write = Some(draft.write_id);
        core.write(now, draft);
    }

    /// Delegates the release to a daemon, and to another one if that one declines or fails.
    pub(crate) fn delegate(&mut self, core: &mut Core, now: Moment) {
        let Some(own) = core.own_member() else { return };
        let number = *self.delegated_number.get_or_insert(own.releases);
        if let Some(to) = self.delegation.next_delegate(core, now, Some(core.me)) {
            core.delegate(to, self.request(core, number));
        }
    }

    /// Notes that member `by` declined to write the release.
    pub(crate) fn declined(&mut self, by: BootId) {
        self.delegation.declined(by);
    }

    /// Whether a daemon was asked and may still write it.
    pub(crate) fn is_delegated(&self, core: &Core) -> bool {
        self.delegated_number.is_some()
            && self.delegated_number == core.own_member().map(|own| own.releases)
    }

    fn request(&self, core: &Core, number: u64) -> ReleaseRequest {
        let (slices, handovers) = (self.slices.clone(), self.handovers.clone());
        let noted = core.read_handovers().filter(|slice| !slices.contains_key(slice)).collect();
        let excluded = core.excluded.contains(&core.me);
        ReleaseRequest { id: core.me, number, slices, handovers, noted, excluded }
    }

    /// Applies to `draft` the release of what this member still owns.
    fn apply(&self, core: &Core, draft: &mut Record) {
        for (&key, to) in &self.keys {
            if draft.owner_of(key) == Some(core.me) {
                assign_key(draft, key, *to);
            }
        }
        let number = core.own_member().map(|own| own.releases).unwrap_or_default();
        apply_releases(draft, [&self.request(core, number)], core.spread, &core.excluded);
    }
}

fn assign_key(draft: &mut Record, key: KeyHash, to: Option<BootId>) {
    draft.hot.remove(&key);
    let Some(to) = to.filter(|to| draft.members.contains_key(to)) else { return };
    if draft.owner_of(key) != Some(to) {
        draft.hot.insert(key, to);
    }
}
