//! What the upstream beside a daemon may hold.

use std::time::Duration;

use rattanarch_types::BootId;
use rattanarch_types::Fence;
use rattanarch_types::Moment;
use rattanarch_types::Record;
use rattanarch_types::SliceId;

use crate::Serving;

/// How much longer a second may last on the upstream's clock, in parts per million.
const UPSTREAM_DRIFT_PPM: u32 = 20_000;

/// Time that is left between the end of a grant at the upstream and the end of the owner's lease.
const MARGIN: Duration = Duration::from_millis(30);

/// A grant shorter than this is not worth giving: it would end before a request does.
const MIN_HOLD: Duration = Duration::from_millis(250);

/// One slice that the upstream is to hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SliceGrant {
    /// The slice.
    pub slice: SliceId,
    /// Fencing token: the record version under which the member gained the slice, so that it is
    /// above those of all earlier owners.
    pub fence: Fence,
    /// What the last owner's upstream left for the next one.
    pub handover: Option<String>,
}

#[derive(Clone, Debug, Default)]
struct Slot {
    /// Fence under which the member owns the slice; 0 if it does not.
    fence: Fence,
    handover: Option<String>,
    /// Heartbeat that the last grant answered; 0 if there was none.
    sequence: u64,
    /// When the last grant ends at the latest, on the slowest upstream's clock.
    held_until: Moment,
    /// When it ends by a clock that is as fast as this one, and so may be served.
    served_until: Moment,
}

/// Grants that one life of an upstream got in the answers to its heartbeats, by slice.
///
/// The upstream counts a grant from the sending of its heartbeat. A slice may be handed on once
/// the upstream has said that it does not hold it in a heartbeat after the one that the last grant
/// answered, or once the grant has ended on the slowest clock.
#[derive(Clone, Debug, Default)]
pub struct Grants {
    slots: Vec<Slot>,
}

impl Grants {
    /// Nothing granted by this process. An earlier process may have granted anything until
    /// `until`.
    pub fn new(slices: SliceId, until: Moment) -> Self {
        let slot = Slot { held_until: until, ..Slot::default() };
        Self { slots: vec![slot; usize::from(slices)] }
    }

    /// Follows the member `me` to `record`. A slice that it gained is owned under the record's
    /// version, unless the upstream holds it under `kept`: then it has been its owner all along.
    pub fn follow(&mut self, record: &Record, me: BootId, kept: impl Fn(SliceId) -> Option<Fence>) {
        for (slice, slot) in self.slots.iter_mut().enumerate() {
            let id = slice as SliceId;
            if record.owners.get(slice) != Some(&Some(me)) {
                slot.fence = 0;
                slot.handover = None;
            } else if slot.fence == 0 {
                slot.fence = kept(id).unwrap_or(record.version);
                slot.handover = record.handovers.get(&id).cloned();
            }
        }
    }

    /// Takes a heartbeat: whether the upstream holds each slice, or works on it.
    pub fn confirm(&mut self, sequence: u64, holds: impl Fn(SliceId) -> bool) {
        for (slice, slot) in self.slots.iter_mut().enumerate() {
            if holds(slice as SliceId) {
                // What it has taken over need not be named again.
                slot.handover = None;
            } else if sequence > slot.sequence {
                slot.held_until = Moment::ZERO;
                slot.served_until = Moment::ZERO;
            }
        }
    }

    /// Grants for the answer to the heartbeat `sequence`, which came at `now`: what `serving` lets
    /// the member serve, and for how long. `None` while its lease bears no grant.
    pub fn renew(
        &mut self,
        now: Moment,
        sequence: u64,
        serving: &Serving,
        most: Duration,
    ) -> Option<(Vec<SliceGrant>, Duration)> {
        let left = serving.lease_end?.checked_sub(now)?.checked_sub(MARGIN)?;
        let hold = unstretched(left).min(most);
        if hold < MIN_HOLD {
            return None;
        }
        let mut grants = Vec::new();
        for (slice, slot) in self.slots.iter_mut().enumerate() {
            let id = slice as SliceId;
            if slot.fence == 0 || serving.held.contains(&id) {
                continue;
            }
            slot.sequence = sequence;
            slot.held_until = slot.held_until.max(now + stretched(hold));
            slot.served_until = now + hold;
            let handover = slot.handover.clone();
            grants.push(SliceGrant { slice: id, fence: slot.fence, handover });
        }
        Some((grants, hold))
    }

    /// Takes back `slices` that the answer had no room for.
    pub fn withdraw(&mut self, slices: impl IntoIterator<Item = SliceId>) {
        for slice in slices {
            if let Some(slot) = self.slots.get_mut(usize::from(slice)) {
                slot.served_until = Moment::ZERO;
            }
        }
    }

    /// Notes that the upstream refused a request for `slice` because it does not hold it.
    pub fn refused(&mut self, slice: SliceId) {
        self.withdraw([slice]);
    }

    /// Notes that this life of the upstream has ended: it holds nothing any more.
    pub fn end(&mut self) {
        for slot in &mut self.slots {
            slot.held_until = Moment::ZERO;
            slot.served_until = Moment::ZERO;
        }
    }

    /// Whether the upstream holds `slice` at `now`, so that it runs requests for it.
    pub fn is_served(&self, now: Moment, slice: SliceId) -> bool {
        self.slot(slice).is_some_and(|slot| slot.fence > 0 && now < slot.served_until)
    }

    /// Whether the upstream may still hold `slice`, or work on it. Work ends with the grant.
    pub fn may_hold(&self, now: Moment, slice: SliceId) -> bool {
        self.slot(slice).is_some_and(|slot| now < slot.held_until)
    }

    /// Number of slices that the upstream holds at `now`.
    pub fn served_count(&self, now: Moment) -> usize {
        self.slots.iter().filter(|slot| slot.fence > 0 && now < slot.served_until).count()
    }

    fn slot(&self, slice: SliceId) -> Option<&Slot> {
        self.slots.get(usize::from(slice))
    }
}

/// `duration` as the slowest upstream clock measures it.
fn stretched(duration: Duration) -> Duration {
    duration + duration * UPSTREAM_DRIFT_PPM / 1_000_000
}

/// The longest duration that the slowest upstream clock ends within `duration`.
fn unstretched(duration: Duration) -> Duration {
    duration * 1_000_000 / (1_000_000 + UPSTREAM_DRIFT_PPM)
}
