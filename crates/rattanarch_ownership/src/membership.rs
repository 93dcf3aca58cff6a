//! State and periodic work of a member.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rattanarch_types::BootId;
use rattanarch_types::KeyHash;
use rattanarch_types::Moment;
use rattanarch_types::SliceId;
use rattanarch_types::Version;

use crate::acks::Acks;
use crate::balance::Balance;
use crate::balance::own_hot_keys;
use crate::core::Core;
use crate::hot_key_moves::HotKeyMoves;
use crate::lease::Lease;
use crate::lease::add_ack;
use crate::lease::send_renewals;
use crate::release::Release;
use crate::takeovers::Takeovers;
use crate::unowned_assignment::UnownedAssignment;
use crate::witness::Witness;
use crate::witness_replacement::WitnessReplacer;

/// State of a member, besides [`Core`].
#[derive(Debug, Default)]
pub(crate) struct Membership {
    pub(crate) lease: Lease,
    pub(crate) replacer: WitnessReplacer,
    pub(crate) takeovers: Takeovers,
    pub(crate) release: Option<Release>,
    balance: Balance,
    hot_key_moves: HotKeyMoves,
    unowned: UnownedAssignment,
}

impl Membership {
    /// Does what is due while the member is not leaving.
    pub(crate) fn advance(&mut self, core: &mut Core, witness: &mut Witness, now: Moment) {
        self.maintain_lease(core, now);
        self.takeovers.advance(core, witness, now);
        self.advance_release(core, now);
        self.unowned.advance(core, now);
    }

    /// Renews the lease and replaces witnesses where needed.
    pub(crate) fn maintain_lease(&mut self, core: &mut Core, now: Moment) {
        let collected = self.replacer.change.as_ref().map(|change| &change.acks);
        self.lease.follow(core, collected);
        self.replacer.settle(core, now);
        if self.lease.is_muted(core, now) {
            return;
        }
        let due = self.lease.is_due(core, now);
        if due || self.lease.refused || self.replacer.is_due(core, now) {
            self.begin_replacement(core, now);
        }
        if due {
            self.renew(core, now);
        }
        self.replacer.write(core, &self.lease, now);
    }

    fn begin_replacement(&mut self, core: &mut Core, now: Moment) {
        self.replacer.begin(core, &self.lease, now);
        // The first requests of a new term are sent at once, the others with each heartbeat.
        let Some(change) = &mut self.replacer.change else { return };
        if change.is_new() {
            send_renewals(core, now, &change.acks);
        }
    }

    fn renew(&mut self, core: &mut Core, now: Moment) {
        send_renewals(core, now, &self.lease.acks);
        let joint = core.rules.joint_sets || !self.replacer.is_pending(core);
        if let Some(change) = self.replacer.change.as_ref().filter(|_| joint) {
            send_renewals(core, now, &change.acks);
        }
        if self.lease.acks.witnesses.is_empty() {
            core.request_read(now);
        }
    }

    fn advance_release(&mut self, core: &mut Core, now: Moment) {
        let ended = self.release.take_if(|release| release.is_over(core));
        let unsettled = ended.as_ref().map(|ended| ended.unsettled(core)).unwrap_or_default();
        if self.release.is_none() && (core.may_release() || !unsettled.is_empty()) {
            let (mut slices, keys) = self.plan_release(core, now);
            slices.extend(unsettled);
            self.start_release(core, now, (slices, keys), ended.as_ref());
        }
        if let Some(release) = &mut self.release {
            release.write(core, now);
        }
    }

    fn plan_release(&mut self, core: &mut Core, now: Moment) -> ReleasePlan {
        let mut slices = self.balance.due(core, now);
        for (slice, to) in std::mem::take(&mut core.planned_moves) {
            slices.entry(slice).or_insert(Some(to));
        }
        let hot = self.hot_key_moves.due(core, now);
        let record = core.record.as_deref().filter(|_| core.excluded.contains(&core.me));
        let keys = record.map_or(hot, |record| own_hot_keys(core, record));
        (slices, keys)
    }

    /// Starts a release as the successor of `before`, unless there is nothing to release or the platform is unreachable.
    pub(crate) fn start_release(
        &mut self,
        core: &mut Core,
        now: Moment,
        (slices, keys): ReleasePlan,
        before: Option<&Release>,
    ) {
        let is_empty = slices.is_empty() && keys.is_empty();
        if !is_empty && core.is_platform_reachable(now) {
            self.release = Some(Release::begin(core, slices, keys, before));
        }
    }

    /// Handles an acknowledgement of the current term or of the one that is to replace it.
    pub(crate) fn acknowledged(
        &mut self,
        core: &Core,
        now: Moment,
        from: BootId,
        term: Version,
        sent: Moment,
    ) {
        add_ack(core, now, &mut self.lease.acks, from, term, sent);
        if let Some(change) = &mut self.replacer.change {
            add_ack(core, now, &mut change.acks, from, term, sent);
        }
    }

    /// Time until which the member may serve; `None` if it may not.
    pub(crate) fn lease_end(&self, core: &Core) -> Option<Moment> {
        let current = self.lease.end(core)?;
        if !core.rules.joint_sets || !self.replacer.is_pending(core) {
            return Some(current);
        }
        let acks: &Acks = &self.replacer.change.as_ref()?.acks;
        Some(current.min(acks.majority_sent()? + core.timing.lease))
    }

    /// Slices and hot keys that the member owns but no longer serves.
    pub(crate) fn releasing(&self, core: &Core) -> (BTreeSet<SliceId>, BTreeSet<KeyHash>) {
        let Some(release) = &self.release else { return Default::default() };
        if !core.rules.hold_until_settled && release.is_pending(core) {
            return Default::default();
        }
        let slices = release.slices.keys().copied().collect();
        (slices, release.keys.keys().copied().collect())
    }
}

/// Slices and hot keys to release, each with its new owner.
///
/// A slice without one goes to any other member, a hot key without one back to its slice.
pub(crate) type ReleasePlan =
    (BTreeMap<SliceId, Option<BootId>>, BTreeMap<KeyHash, Option<BootId>>);
