//! A member of the service.

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

/// What a member has besides its core.
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
    /// Does what is due for a member that stays.
    pub(crate) fn advance(&mut self, core: &mut Core, witness: &mut Witness, now: Moment) {
        self.maintain_lease(core, now);
        self.takeovers.advance(core, witness, now);
        self.give_away(core, now);
        self.unowned.advance(core, now);
    }

    /// Renews the lease and keeps its witnesses fit.
    pub(crate) fn maintain_lease(&mut self, core: &mut Core, now: Moment) {
        let ready = self.replacer.change.as_ref().map(|change| &change.acks);
        self.lease.follow(core, ready);
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
        // The first requests of a new term go out at once, the others by heartbeat.
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

    fn give_away(&mut self, core: &mut Core, now: Moment) {
        let over = self.release.take_if(|release| release.is_over(core));
        let unsettled = over.as_ref().map(|over| over.unsettled(core)).unwrap_or_default();
        if self.release.is_none() && (core.may_release() || !unsettled.is_empty()) {
            let (mut slices, keys) = self.surplus(core, now);
            slices.extend(unsettled);
            self.start_release(core, now, (slices, keys), over.as_ref());
        }
        if let Some(release) = &mut self.release {
            release.write(core, now);
        }
    }

    fn surplus(&mut self, core: &mut Core, now: Moment) -> Surplus {
        let mut slices = self.balance.due(core, now);
        for (slice, to) in std::mem::take(&mut core.planned_moves) {
            slices.entry(slice).or_insert(Some(to));
        }
        let hot = self.hot_key_moves.due(core, now);
        let record = core.record.as_deref().filter(|_| core.barred.contains(&core.me));
        let keys = record.map_or(hot, |record| own_hot_keys(core, record));
        (slices, keys)
    }

    /// Begins to release after `before`, unless there is nothing to release or no platform to write to.
    pub(crate) fn start_release(
        &mut self,
        core: &mut Core,
        now: Moment,
        (slices, keys): Surplus,
        before: Option<&Release>,
    ) {
        let empty = slices.is_empty() && keys.is_empty();
        if !empty && core.is_platform_reachable(now) {
            self.release = Some(Release::begin(core, slices, keys, before));
        }
    }

    /// Takes an acknowledgement.
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

    /// End of the time in which the member may serve.
    pub(crate) fn lease_end(&self, core: &Core) -> Option<Moment> {
        let current = self.lease.end(core)?;
        if !core.rules.joint_sets || !self.replacer.is_pending(core) {
            return Some(current);
        }
        let acks: &Acks = &self.replacer.change.as_ref()?.acks;
        Some(current.min(acks.majority_sent()? + core.timing.lease))
    }

    /// Slices and hot keys that are held.
    pub(crate) fn held(&self, core: &Core) -> (BTreeSet<SliceId>, BTreeSet<KeyHash>) {
        let Some(release) = &self.release else { return Default::default() };
        if !core.rules.hold_until_settled && release.is_pending(core) {
            return Default::default();
        }
        let slices = release.slices.keys().copied().collect();
        (slices, release.keys.keys().copied().collect())
    }
}

/// Slices and hot keys to be given away.
///
/// Slices without a receiver are spread over the others.
pub(crate) type Surplus = (BTreeMap<SliceId, Option<BootId>>, BTreeMap<KeyHash, Option<BootId>>);
