//! Which slices and keys the requests of this daemon's upstream ask for.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use rattanarch_placement::HotKeys;
use rattanarch_types::KeyHash;
use rattanarch_types::SliceId;
use rattanarch_types::slice_of;

/// Counters of the sketch of hot keys: a key with more than 1 in 256 of the requests is found.
const SKETCH_COUNTERS: usize = 256;

/// Counts requests by slice and hot key, between two readings.
#[derive(Debug)]
pub(crate) struct Demand {
    counts: Mutex<Counts>,
}

#[derive(Debug)]
struct Counts {
    keys: HotKeys,
    /// Requests by the upper bits of the key's hash, which slices are cut from.
    slices: BTreeMap<SliceId, u32>,
    /// Slice count at the last reading.
    slice_count: SliceId,
}

/// Requests a second.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rates {
    /// By slice.
    pub(crate) slices: BTreeMap<SliceId, u32>,
    /// By key, the hottest only.
    pub(crate) keys: BTreeMap<KeyHash, u32>,
}

impl Default for Demand {
    fn default() -> Self {
        let keys = HotKeys::new(SKETCH_COUNTERS);
        let counts = Counts { keys, slices: BTreeMap::new(), slice_count: 0 };
        Self { counts: Mutex::new(counts) }
    }
}

impl Demand {
    /// Counts a request for the key whose hash is `hash`.
    pub(crate) fn record(&self, hash: KeyHash) {
        let mut counts = self.lock();
        counts.keys.record(hash);
        let slice = slice_of(hash, counts.slice_count);
        *counts.slices.entry(slice).or_insert(0) += 1;
    }

    /// Reads the rates over the last `span` and starts anew, in a service of `slice_count` slices.
    pub(crate) fn take(&self, span: Duration, slice_count: SliceId) -> Rates {
        let mut counts = self.lock();
        let known = counts.slice_count == slice_count;
        counts.slice_count = slice_count;
        let keys = counts.keys.take(span);
        let slices = std::mem::take(&mut counts.slices);
        if !known {
            return Rates::default();
        }
        let seconds = span.as_secs_f64().max(f64::MIN_POSITIVE);
        let rate = |count: u32| (f64::from(count) / seconds).round() as u32;
        let slices = slices.into_iter().map(|(slice, count)| (slice, rate(count)));
        Rates { slices: slices.collect(), keys }
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
