//! Grants of slices to the upstream of a daemon.

use std::time::Duration;

use rattanarch_types::BootId;
use rattanarch_types::Fence;
use rattanarch_types::Moment;
use rattanarch_types::Record;
use rattanarch_types::SliceId;

use crate::RestoreWait;
use crate::Rules;
use crate::Serving;

/// Bound on the drift of the upstream's clock, in parts per million: how much longer a second may last on it.
const UPSTREAM_DRIFT_PPM: u32 = 20_000;

/// Margin between the end of a grant at the upstream and the end of the owner's lease.
const LEASE_MARGIN: Duration = Duration::from_millis(30);

/// Shortest grant worth giving: a request would outlast a shorter one.
const MIN_HOLD: Duration = Duration::from_millis(250);

/// Time after sending a heartbeat after which the upstream takes no grant from the reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// A slice that the upstream is to hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SliceGrant {
    /// The slice.
    pub slice: SliceId,
    /// Fencing token, higher than those of all earlier owners: that of the record, or the fence under which the
    /// instance's earlier process owned the slice until this member replaced it.
    pub fence: Fence,
    /// What the previous owner's upstream handed over to the next one.
    pub handover: Option<String>,
}

/// Grant state of one slice.
#[derive(Clone, Debug, Default)]
struct GrantState {
    /// Fence under which the member owns the slice; 0 if it does not.
    fence: Fence,
    /// The record's fencing token for the slice when `fence` was set.
    recorded: Fence,
    handover: Option<String>,
    /// Whether the upstream held the slice, or still ran requests for it, when it sent the last heartbeat.
    held: bool,
    /// Whether a heartbeat has reported the slice as held since it was first granted under `fence`.
    taken: bool,
    /// Sequence number of the heartbeat that the last grant answered; 0 if there was none.
    sequence: u64,
    /// When the last grant was given.
    granted_at: Moment,
    /// When the last grant ends if the upstream's clock is the slowest within the drift bound.
    held_until: Moment,
    /// When the last grant ends if the upstream's clock runs like this one; requests are sent until then.
    served_until: Moment,
    /// Fence of the last grant; 0 if there was none.
    granted: Fence,
    /// Fence under which the upstream may hold the slice, as last told by [`Grants::take_changes`]; 0 if it may not.
    told: Fence,
}

impl GrantState {
    /// Whether the upstream has taken the last grant, or will not take it any more.
    fn is_settled(&self, now: Moment) -> bool {
        self.taken || now >= self.granted_at + max_local_time(REPLY_TIMEOUT)
    }
}

/// Changes of what an upstream may hold, since the changes that were taken before.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GrantChanges {
    /// Slices that were granted, or granted under another fence, with their fences; in ascending order.
    pub granted: Vec<(SliceId, Fence)>,
    /// Slices that the upstream has reported as not held, with the fences of their last grants; in ascending order.
    pub released: Vec<(SliceId, Fence)>,
    /// Slices whose last grants have expired, with their fences; in ascending order.
    pub expired: Vec<(SliceId, Fence)>,
    /// When the last of the expired grants ended.
    pub expired_at: Moment,
}

/// Grants that one boot of an upstream was given in the replies to its heartbeats, by slice.
///
/// The upstream counts a grant from the sending of its heartbeat. A slice may go to another owner once the upstream has
/// reported that it does not hold it, in a heartbeat after the one that the last grant answered, or once the grant has
/// ended on the slowest clock. A heartbeat may have been sent before that grant arrived: if the slice has never been
/// reported as held, the report counts only once the grant can't be taken any more.
#[derive(Clone, Debug, Default)]
pub struct Grants {
    states: Vec<GrantState>,
    /// When grants of an earlier process of this daemon have ended. Heartbeats don't end them: the first ones that this
    /// process receives may have been sent before those grants arrived.
    earlier_until: Moment,
    rules: Rules,
}

impl Grants {
    /// Creates the state for `slices` slices, none of them granted yet. Grants of an earlier process of this daemon may
    /// be valid until `until`.
    pub fn new(slices: SliceId, until: Moment) -> Self {
        let states = vec![GrantState::default(); usize::from(slices)];
        Self { states, earlier_until: until, rules: Rules::default() }
    }

    /// Replaces the rules; only tests switch one off.
    #[doc(hidden)]
    pub fn with_rules(mut self, rules: Rules) -> Self {
        self.rules = rules;
        self
    }

    /// Applies `record` for the member `me`. A newly owned slice gets `kept(slice)` as its fence if that is `Some`: the
    /// fence under which the upstream already holds the slice for an earlier process of the same instance. Otherwise it
    /// gets the record's fencing token, or the record's version if there is none.
    ///
    /// A slice also counts as newly owned if its token has changed: another member has owned it in a version that was
    /// not applied here.
    pub fn apply_record(
        &mut self,
        record: &Record,
        me: BootId,
        kept: impl Fn(SliceId) -> Option<Fence>,
    ) {
        let follow_fences = self.rules.follow_fences;
        for (slice, state) in self.states.iter_mut().enumerate() {
            let id = slice as SliceId;
            if record.owners.get(slice) != Some(&Some(me)) {
                state.fence = 0;
                state.handover = None;
                state.taken = false;
                continue;
            }
            let recorded = record.fence_of(id);
            let has_moved = recorded.is_some_and(|token| token != state.recorded) && follow_fences;
            if state.fence == 0 || has_moved {
                state.recorded = recorded.unwrap_or(record.version);
                state.fence = kept(id).unwrap_or(state.recorded);
                state.taken = false;
                state.handover = record.handovers.get(&id).cloned();
            }
        }
    }

    /// Applies the heartbeat with number `sequence`, received at `now`; `holds` tells whether the upstream holds a slice
    /// or still runs requests for it. Ends the grant of each slice that it does not hold, if the heartbeat is later than
    /// the one that the grant answered.
    pub fn apply_heartbeat(&mut self, now: Moment, sequence: u64, holds: impl Fn(SliceId) -> bool) {
        for (slice, state) in self.states.iter_mut().enumerate() {
            state.held = holds(slice as SliceId);
            if state.held {
                // The upstream has taken the handover, so that it need not be sent again.
                state.handover = None;
                state.taken = true;
            } else if sequence > state.sequence && state.is_settled(now) {
                state.taken = false;
                state.held_until = Moment::ZERO;
                state.served_until = Moment::ZERO;
            }
        }
    }

    /// Returns the grants for the reply to heartbeat `sequence`, received at `now`, for the slices that `serving` lets
    /// the member serve, and their common duration of at most `max_hold`, which the upstream counts from sending that
    /// heartbeat. `None` while the rest of the lease is too short for a grant. While `wait` holds, only slices that the
    /// upstream holds are granted.
    pub fn renew(
        &mut self,
        now: Moment,
        sequence: u64,
        serving: &Serving,
        wait: &RestoreWait,
        max_hold: Duration,
    ) -> Option<(Vec<SliceGrant>, Duration)> {
        let left = serving.lease_end?.checked_sub(now)?.checked_sub(LEASE_MARGIN)?;
        let hold = max_upstream_time(left).min(max_hold);
        if hold < MIN_HOLD {
            return None;
        }
        let waiting = wait.is_waiting(now);
        let mut grants = Vec::new();
        for (slice, state) in self.states.iter_mut().enumerate() {
            let id = slice as SliceId;
            let is_unsafe = waiting && !state.held;
            if state.fence == 0 || is_unsafe || serving.releasing.contains(&id) {
                continue;
            }
            state.sequence = sequence;
            state.granted_at = now;
            state.granted = state.fence;
            state.held_until = state.held_until.max(now + max_local_time(hold));
            state.served_until = now + hold;
            let handover = state.handover.clone();
            grants.push(SliceGrant { slice: id, fence: state.fence, handover });
        }
        Some((grants, hold))
    }

    /// Stops sending requests for `slices`, whose grants didn't fit into the reply. Earlier grants may still be in force.
    pub fn withdraw(&mut self, slices: impl IntoIterator<Item = SliceId>) {
        for slice in slices {
            if let Some(state) = self.states.get_mut(usize::from(slice)) {
                state.served_until = Moment::ZERO;
                state.granted = state.told;
            }
        }
    }

    /// Stops sending requests for `slice`, after the upstream has refused one because it does not hold the slice.
    pub fn refused(&mut self, slice: SliceId) {
        if let Some(state) = self.states.get_mut(usize::from(slice)) {
            state.served_until = Moment::ZERO;
        }
    }

    /// Ends all grants, after this boot of the upstream has ended.
    pub fn end_all(&mut self) {
        self.earlier_until = Moment::ZERO;
        for state in &mut self.states {
            state.held_until = Moment::ZERO;
            state.served_until = Moment::ZERO;
        }
    }

    /// Whether requests for `slice` may be sent to the upstream at `now`: the member owns it and its grant has not
    /// ended.
    pub fn is_served(&self, now: Moment, slice: SliceId) -> bool {
        self.state(slice).is_some_and(|state| state.fence > 0 && now < state.served_until)
    }

    /// Whether the upstream may still hold `slice` at `now`, on the slowest clock within the drift bound. Requests that
    /// it runs for the slice end with the grant at the latest.
    pub fn may_hold(&self, now: Moment, slice: SliceId) -> bool {
        now < self.earlier_until || self.state(slice).is_some_and(|state| now < state.held_until)
    }

    /// What the upstream may hold at `now` that it could not when this was last called, and the reverse.
    pub fn take_changes(&mut self, now: Moment) -> GrantChanges {
        let mut changes = GrantChanges::default();
        for (slice, state) in self.states.iter_mut().enumerate() {
            let fence = if now < state.held_until { state.granted } else { 0 };
            if fence == state.told {
                continue;
            }
            let before = std::mem::replace(&mut state.told, fence);
            if fence > 0 {
                changes.granted.push((slice as SliceId, fence));
            } else if state.held_until.is_zero() {
                changes.released.push((slice as SliceId, before));
            } else {
                changes.expired.push((slice as SliceId, before));
                changes.expired_at = changes.expired_at.max(state.held_until);
            }
        }
        changes
    }

    /// Number of slices for which requests may be sent at `now`.
    pub fn served_count(&self, now: Moment) -> usize {
        self.states.iter().filter(|state| state.fence > 0 && now < state.served_until).count()
    }

    fn state(&self, slice: SliceId) -> Option<&GrantState> {
        self.states.get(usize::from(slice))
    }
}

/// Longest time, on this clock, in which the upstream's clock may advance by `duration`.
fn max_local_time(duration: Duration) -> Duration {
    duration + duration * UPSTREAM_DRIFT_PPM / 1_000_000
}

/// Longest time, on the upstream's clock, that is certain to pass within `duration` on this clock.
fn max_upstream_time(duration: Duration) -> Duration {
    duration * 1_000_000 / (1_000_000 + UPSTREAM_DRIFT_PPM)
}
