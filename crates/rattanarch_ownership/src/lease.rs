//! Owner side: the lease that witnesses acknowledge.

use std::time::Duration;

use rattanarch_types::BootId;
use rattanarch_types::Moment;
use rattanarch_types::Version;

use crate::Message;
use crate::acks::Acks;
use crate::core::Core;

/// Lease requests in a heartbeat before a term's first lease. On the target platform they are a tenth of a second apart,
/// a few times the duration of a read of the record.
const FIRST_LEASE_REQUESTS_PER_HEARTBEAT: u32 = 6;

/// The lease of a member under its current term.
#[derive(Debug, Default)]
pub(crate) struct Lease {
    /// Acknowledgements of the current term.
    pub(crate) acks: Acks,
    /// When the next requests are due.
    next_request: Moment,
    /// Whether a witness refuses the current term, so that the member needs a new one.
    pub(crate) refused: bool,
}

impl Lease {
    /// Follows the applied record. A new term starts with the acknowledgements in `collected` if they are of that term,
    /// and otherwise with none.
    pub(crate) fn follow(&mut self, core: &Core, collected: Option<&Acks>) {
        let Some(own) = core.own_member() else { return };
        if own.term == self.acks.term {
            return;
        }
        self.refused = false;
        self.acks = match collected {
            Some(collected) if collected.term == own.term => collected.clone(),
            _ => Acks::new(core.applied_at, own.term, own.witnesses.clone()),
        };
    }

    /// Whether requests are due; the next ones are then due a heartbeat later. Before the first lease of a term they are
    /// more frequent, for up to a lease duration: witnesses that have just joined acknowledge nothing until the platform
    /// has confirmed them as members, and the member's keys are not served until then.
    pub(crate) fn is_due(&mut self, core: &Core, now: Moment) -> bool {
        if now < self.next_request {
            return false;
        }
        let is_first =
            self.counted_from(core).is_none() && now < self.acks.began() + core.timing.lease;
        let interval =
            core.timing.heartbeat / if is_first { FIRST_LEASE_REQUESTS_PER_HEARTBEAT } else { 1 };
        self.next_request = now + interval;
        true
    }

    /// Whether to send no requests for now, so that witnesses that hear this member, but whose acknowledgements don't
    /// reach it, suspect it and take it over. While no majority answers, periods with and without requests alternate,
    /// two leases each.
    pub(crate) fn is_muted(&self, core: &Core, now: Moment) -> bool {
        if self.acks.witnesses.is_empty() {
            return false;
        }
        let heard = self.counted_from(core).unwrap_or_default().max(self.acks.began());
        let unheard = now.saturating_sub(heard).saturating_sub(core.timing.lease / 2);
        let period = core.timing.lease * 2;
        // The first period with requests is half as long, since the lease has ended by then.
        (unheard + period / 2).as_nanos() / period.as_nanos() % 2 == 1
    }

    /// Handles a witness's refusal of terms up to `sealed`.
    pub(crate) fn term_refused(&mut self, sealed: Version) {
        self.refused |= sealed >= self.acks.term;
    }

    /// End of the lease under the current term; `None` without one.
    pub(crate) fn end(&self, core: &Core) -> Option<Moment> {
        let unwitnessed = core.own_member()?.witnesses.is_empty();
        if unwitnessed && !core.rules.confirm_unwitnessed {
            return Some(Duration::MAX);
        }
        Some(self.counted_from(core)? + core.timing.lease)
    }

    /// Send time from which the lease under the current term counts; `None` without one.
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

/// Adds an acknowledgement to `acks`, counted from the send time of its request.
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
