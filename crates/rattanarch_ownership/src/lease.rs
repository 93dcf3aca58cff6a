//! Owner side: the lease that witnesses renew.

use std::time::Duration;

use rattanarch_types::BootId;
use rattanarch_types::Moment;
use rattanarch_types::Version;

use crate::Message;
use crate::acks::Acks;
use crate::core::Core;

/// Requests in a heartbeat before a term's first lease: one each tenth of a second on the users' platform, a few
/// times what a read of the record takes.
const EAGER_PARTS: u32 = 6;

/// The lease of a member under its term in force.
#[derive(Debug, Default)]
pub(crate) struct Lease {
    /// Acknowledgements of the term in force.
    pub(crate) acks: Acks,
    /// When the next requests are due.
    next: Moment,
    /// Whether a witness refuses the term in force, so that only a new term helps.
    pub(crate) refused: bool,
}

impl Lease {
    /// Follows the applied record; a new term starts without acknowledgements, unless `ready` has
    /// some for it.
    pub(crate) fn follow(&mut self, core: &Core, ready: Option<&Acks>) {
        let Some(own) = core.own_member() else { return };
        if own.term == self.acks.term {
            return;
        }
        self.refused = false;
        self.acks = match ready {
            Some(ready) if ready.term == own.term => ready.clone(),
            _ => Acks::new(core.applied_at, own.term, own.witnesses.clone()),
        };
    }

    /// Whether requests are due; the next ones are then due a heartbeat later. Before the first lease of a term
    /// they come faster, for a lease's time: witnesses that have just joined acknowledge nothing until the
    /// platform has shown them as members, and keys wait for each round.
    pub(crate) fn is_due(&mut self, core: &Core, now: Moment) -> bool {
        if now < self.next {
            return false;
        }
        let eager =
            self.counted_from(core).is_none() && now < self.acks.began() + core.timing.lease;
        let pause = core.timing.heartbeat / if eager { EAGER_PARTS } else { 1 };
        self.next = now + pause;
        true
    }

    /// Whether to send nothing, so that witnesses who hear this member and are not heard by it take
    /// it for lost. Spells of silence and of requests take turns, two leases each, as long as no
    /// majority answers.
    pub(crate) fn is_muted(&self, core: &Core, now: Moment) -> bool {
        if self.acks.witnesses.is_empty() {
            return false;
        }
        let heard = self.counted_from(core).unwrap_or_default().max(self.acks.began());
        let unheard = now.saturating_sub(heard).saturating_sub(core.timing.lease / 2);
        let spell = core.timing.lease * 2;
        // The first spell of requests is half as long: the lease has ended by then.
        (unheard + spell / 2).as_nanos() / spell.as_nanos() % 2 == 1
    }

    /// Takes a refusal of terms up to `sealed`.
    pub(crate) fn refuse(&mut self, sealed: Version) {
        self.refused |= sealed >= self.acks.term;
    }

    /// End of the lease under the term in force.
    pub(crate) fn end(&self, core: &Core) -> Option<Moment> {
        let unwitnessed = core.own_member()?.witnesses.is_empty();
        if unwitnessed && !core.rules.confirm_unwitnessed {
            return Some(Duration::MAX);
        }
        Some(self.counted_from(core)? + core.timing.lease)
    }

    /// Send time that the lease under the term in force counts from.
    pub(crate) fn counted_from(&self, core: &Core) -> Option<Moment> {
        if core.own_member()?.witnesses.is_empty() {
            return core.platform.unwitnessed_at;
        }
        if core.rules.count_majority { self.acks.majority_sent() } else { self.acks.nth_newest(1) }
    }
}

/// Sends a lease request for the term of `acks` to each of its witnesses.
pub(crate) fn send_renewals(core: &mut Core, now: Moment, acks: &Acks) {
    let load = core.loads.get(&core.me).copied().unwrap_or_default();
    let record = core.version();
    for to in acks.witnesses.clone() {
        core.send(to, Message::Renew { term: acks.term, sent: now, record, load });
    }
}

/// Takes an acknowledgement into `acks`.
pub(crate) fn add_ack(
    core: &Core,
    now: Moment,
    acks: &mut Acks,
    from: BootId,
    term: Version,
    sent: Moment,
) {
    let counted = if core.rules.count_from_send { sent } else { now };
    if sent <= now {
        acks.add(from, term, counted);
    }
}
