//! Grants of slices to the upstream of a daemon.

use std::time::Duration;

use rattanarch_types::BootId;
use rattanarch_types::Fence;
use rattanarch_types::Moment;
use rattanarch_types::Record;
use rattanarch_types::SliceId;

use crate::Serving;

/// Bound on the drift of the upstream's clock, in parts per million: how much longer a second may last on it.
const UPSTREAM_DRIFT_PPM: u32 = 20_000;

/// Margin between the end of a grant at the upstream and the end of the owner's lease.
const LEASE_MARGIN: Duration = Duration::from_millis(30);

/// Shortest grant worth giving: a request would outlast a shorter one.
const MIN_HOLD: Duration = Duration::from_millis(250);

/// A slice that the upstream is to hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SliceGrant {
    /// The slice.
    pub slice: SliceId,
    /// Fencing token: the record version at which the member gained the slice, and therefore higher than those of all
    /// earlier owners.
    pub fence: Fence,
    /// What the previous owner's upstream handed over to the next one.
    pub handover: Option<String>,
}

/// Grant state of one slice.
#[derive(Clone, Debug, Default)]
struct GrantState {
    /// Fence under which the member owns the slice; 0 if it does not.
    fence: Fence,
    handover: Option<String>,
    /// Sequence number of the heartbeat that the last grant answered; 0 if there was none.
    sequence: u64,
    /// When the last grant ends if the upstream's clock is the slowest within the drift bound.
    held_until: Moment,
    /// When the last grant ends if the upstream's clock runs like this one; requests are sent until then.
    served_until: Moment,
}

/// Grants that one boot of an upstream was given in the replies to its heartbeats, by slice.
///
/// The upstream counts a grant from the sending of its heartbeat. A slice may go to another owner once the upstream has
/// reported that it does not hold it, in a heartbeat after the one that the last grant answered, or once the grant has
/// ended on the slowest clock.
#[derive(Clone, Debug, Default)]
pub struct Grants {
    states: Vec<GrantState>,
}

impl Grants {
    /// State without grants of this process. An earlier process may have granted any slice until `until`.
    pub fn new(slices: SliceId, until: Moment) -> Self {
        let state = GrantState { held_until: until, ..GrantState::default() };
        Self { states: vec![state; usize::from(slices)] }
    }

    /// Applies `record` for the member `me`. A slice that the member has gained gets the record's version as its fence,
    /// unless the upstream holds it under `kept`: then the member has owned it all along.
    pub fn follow(&mut self, record: &Record, me: BootId, kept: impl Fn(SliceId) -> Option<Fence>) {
        for (slice, state) in self.states.iter_mut().enumerate() {
            let id = slice as SliceId;
            if record.owners.get(slice) != Some(&Some(me)) {
                state.fence = 0;
                state.handover = None;
            } else if state.fence == 0 {
                state.fence = kept(id).unwrap_or(record.version);
                state.handover = record.handovers.get(&id).cloned();
            }
        }
    }

    /// Handles a heartbeat; `holds` tells whether the upstream holds a slice or still runs requests for it.
    pub fn confirm(&mut self, sequence: u64, holds: impl Fn(SliceId) -> bool) {
        for (slice, state) in self.states.iter_mut().enumerate() {
            if holds(slice as SliceId) {
                // The upstream has taken the handover, so that it need not be sent again.
                state.handover = None;
            } else if sequence > state.sequence {
                state.held_until = Moment::ZERO;
                state.served_until = Moment::ZERO;
            }
        }
    }

    /// Grants for the reply to the heartbeat `sequence`, which came at `now`: the slices that `serving` lets the member
    /// serve, and for how long, at most `max_hold`. `None` while the rest of the lease is too short for a grant.
    pub fn renew(
        &mut self,
        now: Moment,
        sequence: u64,
        serving: &Serving,
        max_hold: Duration,
    ) -> Option<(Vec<SliceGrant>, Duration)> {
        let left = serving.lease_end?.checked_sub(now)?.checked_sub(LEASE_MARGIN)?;
        let hold = without_drift(left).min(max_hold);
        if hold < MIN_HOLD {
            return None;
        }
        let mut grants = Vec::new();
        for (slice, state) in self.states.iter_mut().enumerate() {
            let id = slice as SliceId;
            if state.fence == 0 || serving.held.contains(&id) {
                continue;
            }
            state.sequence = sequence;
            state.held_until = state.held_until.max(now + with_drift(hold));
            state.served_until = now + hold;
            let handover = state.handover.clone();
            grants.push(SliceGrant { slice: id, fence: state.fence, handover });
        }
        Some((grants, hold))
    }

    /// Stops sending requests for `slices`, whose grants didn't fit into the reply.
    pub fn withdraw(&mut self, slices: impl IntoIterator<Item = SliceId>) {
        for slice in slices {
            if let Some(state) = self.states.get_mut(usize::from(slice)) {
                state.served_until = Moment::ZERO;
            }
        }
    }

    /// Handles that the upstream refused a request for `slice` because it does not hold it.
    pub fn refused(&mut self, slice: SliceId) {
        self.withdraw([slice]);
    }

    /// Handles the end of this boot of the upstream: it no longer holds anything.
    pub fn end(&mut self) {
        for state in &mut self.states {
            state.held_until = Moment::ZERO;
            state.served_until = Moment::ZERO;
        }
    }

    /// Whether the upstream holds `slice` at `now`, so that requests for it may be sent.
    pub fn is_served(&self, now: Moment, slice: SliceId) -> bool {
        self.state(slice).is_some_and(|state| state.fence > 0 && now < state.served_until)
    }

    /// Whether the upstream may still hold `slice` or run requests for it; these end with the grant.
    pub fn may_hold(&self, now: Moment, slice: SliceId) -> bool {
        self.state(slice).is_some_and(|state| now < state.held_until)
    }

    /// Number of slices that the upstream holds at `now`.
    pub fn served_count(&self, now: Moment) -> usize {
        self.states.iter().filter(|state| state.fence > 0 && now < state.served_until).count()
    }

    fn state(&self, slice: SliceId) -> Option<&GrantState> {
        self.states.get(usize::from(slice))
    }
}

/// The longest time that `duration` may take on the upstream's clock.
fn with_drift(duration: Duration) -> Duration {
    duration + duration * UPSTREAM_DRIFT_PPM / 1_000_000
}

/// The longest duration that ends within `duration` on the slowest upstream clock.
fn without_drift(duration: Duration) -> Duration {
    duration * 1_000_000 / (1_000_000 + UPSTREAM_DRIFT_PPM)
}
