//! Counts of refused requests.

use std::collections::BTreeMap;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::request::RequestError;
use crate::request::reason::Reason;

/// Requests that this daemon has refused or left without their upstream's answer, by reason.
#[derive(Debug, Default)]
pub(crate) struct Refusals {
    /// In the order of [`Reason`].
    counts: [AtomicU64; Reason::COUNT],
}

impl Refusals {
    pub(crate) fn note(&self, error: &RequestError) {
        let reason = Reason::from(error);
        self.counts[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// The reasons that occurred.
    pub(crate) fn read(&self) -> BTreeMap<String, u64> {
        let counts = self.counts.iter().map(|count| count.load(Ordering::Relaxed));
        let named = Reason::NAMES.into_iter().zip(counts);
        named
            .filter(|(_, count)| *count > 0)
            .map(|(name, count)| (name.to_owned(), count))
            .collect()
    }
}
