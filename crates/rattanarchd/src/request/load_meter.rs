//! Which slices and keys are asked for most.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use rattanarch_placement::HotKeys;
use rattanarch_types::KeyHash;
use rattanarch_types::SliceId;

/// Counters of the sketch of hot keys: a key with more than 1 in 256 of the requests is found.
const SKETCH_COUNTERS: usize = 256;

/// Counts the requests that start at the own upstream.
#[derive(Debug)]
pub struct LoadMeter {
    counts: Mutex<Counts>,
}

#[derive(Debug)]
struct Counts {
    slices: BTreeMap<SliceId, u32>,
    keys: HotKeys,
}

/// Requests a second over some time.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LoadRates {
    /// By slice.
    pub slices: BTreeMap<SliceId, u32>,
    /// By the hash of the most asked keys, hot keys of the record included; never too high.
    pub keys: BTreeMap<KeyHash, u32>,
}

impl Default for LoadMeter {
    fn default() -> Self {
        let counts = Counts { slices: BTreeMap::new(), keys: HotKeys::new(SKETCH_COUNTERS) };
        Self { counts: Mutex::new(counts) }
    }
}

impl LoadMeter {
    /// The rates over the `span` since the last call.
    pub fn take_rates(&self, span: Duration) -> LoadRates {
        let mut counts = self.lock();
        let keys = counts.keys.take_rates(span);
        let slices = std::mem::take(&mut counts.slices);
        let seconds = span.as_secs_f64().max(f64::MIN_POSITIVE);
        let rate = |count: u32| (f64::from(count) / seconds).round() as u32;
        let slices = slices.into_iter().map(|(slice, count)| (slice, rate(count)));
        LoadRates { slices: slices.collect(), keys }
    }

    pub(crate) fn note(&self, slice: SliceId, hash: KeyHash) {
        let mut counts = self.lock();
        *counts.slices.entry(slice).or_default() += 1;
        counts.keys.count(hash);
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
