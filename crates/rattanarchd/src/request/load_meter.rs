//! Request rates of slices and keys.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use rattanarch_placement::HotKeys;
use rattanarch_types::KeyHash;
use rattanarch_types::SliceId;

/// Number of counters in the hot key sketch. It finds every key with more than 1 in 256 of the
/// requests.
const SKETCH_COUNTERS: usize = 256;

/// Counts the requests that start at the local upstream, by slice and key.
#[derive(Debug)]
pub struct LoadMeter {
    counts: Mutex<Counts>,
}

#[derive(Debug)]
struct Counts {
    slices: BTreeMap<SliceId, u32>,
    keys: HotKeys,
}

/// Requests per second, averaged over a time span.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LoadRates {
    /// Rate of each slice.
    pub slices: BTreeMap<SliceId, u32>,
    /// Rates of the most requested keys, by hash, including hot keys of the record. They may be too
    /// low, but never too high.
    pub keys: BTreeMap<KeyHash, u32>,
}

impl Default for LoadMeter {
    fn default() -> Self {
        let counts = Counts { slices: BTreeMap::new(), keys: HotKeys::new(SKETCH_COUNTERS) };
        Self { counts: Mutex::new(counts) }
    }
}

impl LoadMeter {
    /// Returns the rates over `span`, the time since the last call, and resets the counts.
    pub fn take_rates(&self, span: Duration) -> LoadRates {
        let mut counts = self.lock();
        let keys = counts.keys.take_rates(span);
        let slices = std::mem::take(&mut counts.slices);
        let seconds = span.as_secs_f64().max(f64::MIN_POSITIVE);
        let rate = |count: u32| (f64::from(count) / seconds).round() as u32;
        let slices = slices.into_iter().map(|(slice, count)| (slice, rate(count)));
        LoadRates { slices: slices.collect(), keys }
    }

    pub(crate) fn count(&self, slice: SliceId, hash: KeyHash) {
        let mut counts = self.lock();
        *counts.slices.entry(slice).or_default() += 1;
        counts.keys.count(hash);
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
