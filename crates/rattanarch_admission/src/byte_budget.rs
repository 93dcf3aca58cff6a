//! One budget of bytes for all that callers and peers make a process hold.

use std::time::Duration;

use rattanarch_types::Moment;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::CapacityPlan;

/// Bytes of each body that have room before any other body's further bytes.
pub const FIRST_BYTES: usize = 64 << 10;

/// Time without progress after which a holder is given up if bytes are short. Shorter pauses are usual on a link that
/// other transfers share.
const STALL_TIME: Duration = Duration::from_secs(1);

new_key_type! {
    /// Identifies a holder of bytes while it is open.
    pub struct HolderKey;
}

/// A body or response that holds bytes.
#[derive(Clone, Copy, Debug)]
struct Holder {
    bytes: usize,
    /// When it last made progress.
    progressed: Moment,
    /// Whether it may be given up: a body that is still read, or a response that is being written.
    evictable: bool,
}

/// Outcome of a reservation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reservation {
    /// The bytes are reserved, and these holders have to be given up.
    Granted(Vec<HolderKey>),
    /// The bytes are not reserved.
    Refused,
}

/// Budget of bytes for bodies of requests and for responses that are not yet read.
///
/// Designed for callers that send bodies of permitted size, many at once, most of which stop short of their end and stay
/// open, beside ordinary ones: those without progress give way to those with progress, and the first [`FIRST_BYTES`] of
/// each body have room whatever long bodies take.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    /// Part of `limit` that bytes beyond the first ones of a body can't take.
    reserve: usize,
    used: usize,
    holders: SlotMap<HolderKey, Holder>,
}

impl ByteBudget {
    /// Creates the budget of `plan`.
    pub fn new(plan: &CapacityPlan) -> Self {
        let (limit, reserve) = (plan.budget, plan.first_reserve);
        Self { limit, reserve, used: 0, holders: SlotMap::with_key() }
    }

    /// Bytes held at present.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Number of bytes that may be held.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Opens a holder without bytes, which may be given up.
    pub fn open(&mut self, now: Moment) -> HolderKey {
        self.holders.insert(Holder { bytes: 0, progressed: now, evictable: true })
    }

    /// Reserves `bytes` more for `key`, and names the holders to be given up for them.
    pub fn reserve(&mut self, now: Moment, key: HolderKey, bytes: usize) -> Reservation {
        let Some(holder) = self.holders.get(key) else { return Reservation::Refused };
        let first = holder.bytes + bytes <= FIRST_BYTES;
        let limit = if first { self.limit } else { self.limit - self.reserve };
        let missing = (self.used + bytes).saturating_sub(limit);
        let Some(victims) = self.victims(now, key, missing, first) else {
            return Reservation::Refused;
        };
        for victim in &victims {
            self.close(*victim);
        }
        self.charge(key, bytes);
        Reservation::Granted(victims)
    }

    /// Charges `bytes` to `key` regardless of the limit, and names the holders to be given up for them: a response that
    /// is there is delivered. What upstreams send is bounded where it is read.
    pub fn charge_response(&mut self, now: Moment, key: HolderKey, bytes: usize) -> Vec<HolderKey> {
        let missing = (self.used + bytes).saturating_sub(self.limit);
        let victims = self.victims(now, key, missing, true).unwrap_or_default();
        for victim in &victims {
            self.close(*victim);
        }
        self.charge(key, bytes);
        victims
    }

    /// Records that `key` made progress.
    pub fn progress(&mut self, now: Moment, key: HolderKey) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.progressed = now;
        }
    }

    /// Sets whether `key` may be given up: not while its request runs.
    pub fn set_evictable(&mut self, key: HolderKey, evictable: bool) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.evictable = evictable;
        }
    }

    /// Gives up the holder that has been without progress longest, of those that are `eligible`; `None` if each made
    /// progress lately.
    pub fn evict_stalled(
        &mut self,
        now: Moment,
        eligible: impl Fn(HolderKey) -> bool,
    ) -> Option<HolderKey> {
        let mut stalled = self.stalled(now, HolderKey::default()).into_iter();
        let victim = stalled.find(|key| eligible(*key))?;
        self.close(victim);
        Some(victim)
    }

    /// Releases all that `key` holds. Closing it again has no effect.
    pub fn close(&mut self, key: HolderKey) {
        if let Some(holder) = self.holders.remove(key) {
            self.used -= holder.bytes;
        }
    }

    fn charge(&mut self, key: HolderKey, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.bytes += bytes;
            self.used += bytes;
        }
    }

    /// Holders whose end frees `missing` bytes: first those without progress, then, for the `first` bytes of a body,
    /// those with the most bytes. `None` if they don't suffice.
    fn victims(
        &self,
        now: Moment,
        key: HolderKey,
        missing: usize,
        first: bool,
    ) -> Option<Vec<HolderKey>> {
        if missing == 0 {
            return Some(Vec::new());
        }
        let mut candidates = self.stalled(now, key);
        // Closing a body of which nothing is held frees nothing.
        candidates.retain(|other| self.holders.get(*other).is_some_and(|holder| holder.bytes > 0));
        if first {
            let mut large: Vec<_> = self
                .holders
                .iter()
                .filter(|(other, holder)| {
                    *other != key
                        && holder.evictable
                        && holder.bytes > FIRST_BYTES
                        && !candidates.contains(other)
                })
                .map(|(other, holder)| (holder.bytes, other))
                .collect();
            large.sort_unstable_by(|a, b| b.cmp(a));
            candidates.extend(large.into_iter().map(|(_, other)| other));
        }
        let mut freed = 0;
        let mut victims = Vec::new();
        for candidate in candidates {
            if freed >= missing {
                break;
            }
            freed += self.holders.get(candidate).map_or(0, |holder| holder.bytes);
            victims.push(candidate);
        }
        (freed >= missing).then_some(victims)
    }

    /// Holders other than `key` without progress for [`STALL_TIME`], the longest without first.
    fn stalled(&self, now: Moment, key: HolderKey) -> Vec<HolderKey> {
        let mut stalled: Vec<_> = self
            .holders
            .iter()
            .filter(|(other, holder)| {
                *other != key && holder.evictable && holder.progressed + STALL_TIME <= now
            })
            .map(|(other, holder)| (holder.progressed, other))
            .collect();
        stalled.sort_unstable();
        stalled.into_iter().map(|(_, other)| other).collect()
    }
}
