//! Which slices and keys are asked for most.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::hash::Hash;
use std::sync::Mutex;
use std::sync::PoisonError;

use rattanarch_types::KeyHash;
use rattanarch_types::SliceId;

/// Most keys counted at once. Any key with more than this part of all requests is among them.
const MAX_KEYS: usize = 64;

/// Counts the requests that start at the own upstream.
#[derive(Debug, Default)]
pub struct LoadMeter {
    counts: Mutex<LoadCounts>,
}

/// Requests since the last reading.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LoadCounts {
    /// By slice.
    pub slices: BTreeMap<SliceId, u32>,
    /// By the hash of the most asked keys, hot keys of the record included; may be too high by the
    /// least of them.
    pub keys: HashMap<KeyHash, u32>,
}

impl LoadMeter {
    /// The counts since the last call.
    pub fn take(&self) -> LoadCounts {
        std::mem::take(&mut *self.counts.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub(crate) fn note(&self, slice: SliceId, hash: KeyHash) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.slices.entry(slice).or_default() += 1;
        note_frequent(&mut counts.keys, hash);
    }
}

/// Counts `key`, in place of the least frequent one if the map is full (the space-saving sketch).
fn note_frequent<K: Copy + Eq + Hash>(keys: &mut HashMap<K, u32>, key: K) {
    if let Some(count) = keys.get_mut(&key) {
        *count += 1;
        return;
    }
    let mut count = 0;
    if keys.len() >= MAX_KEYS
        && let Some((&least, &least_count)) = keys.iter().min_by_key(|(_, count)| **count)
    {
        keys.remove(&least);
        count = least_count;
    }
    keys.insert(key, count + 1);
}
