//! Counts of refused requests.

use std::collections::BTreeMap;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::request::RequestError;
use crate::request::reason::Reason;

/// Number of requests that got no response from their upstream, by reason.
#[derive(Debug, Default)]
pub(crate) struct Refusals {
    /// Indexed by [`Reason`].
    counts: [AtomicU64; Reason::COUNT],
}

impl Refusals {
    pub(crate) fn count(&self, error: &RequestError) {
        let reason = Reason::from(error);
        self.counts[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// The counts above zero, by the name of the reason.
    pub(crate) fn read(&self) -> BTreeMap<String, u64> {
        let counts = self.counts.iter().map(|count| count.load(Ordering::Relaxed));
        let named = Reason::NAMES.into_iter().zip(counts);
        named
            .filter(|(_, count)| *count > 0)
            .map(|(name, count)| (name.to_owned(), count))
            .collect()
    }
}
