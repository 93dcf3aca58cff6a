//! Counts of requests that ended with an error of the daemon.

use std::collections::BTreeMap;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::request::RequestError;
use crate::request::reason::Reason;

/// Number of requests that ended with an error of the daemon, by reason. Some of them may have run.
#[derive(Debug, Default)]
pub(crate) struct ErrorCounts {
    /// Indexed by [`Reason`].
    counts: [AtomicU64; Reason::COUNT],
}

impl ErrorCounts {
    pub(crate) fn record(&self, error: &RequestError) {
        let reason = Reason::from(error);
        self.counts[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// The counts above zero, by the name of the reason.
    pub(crate) fn counts(&self) -> BTreeMap<String, u64> {
        let counts = self.counts.iter().map(|count| count.load(Ordering::Relaxed));
        let named = Reason::NAMES.into_iter().zip(counts);
        named
            .filter(|(_, count)| *count > 0)
            .map(|(name, count)| (name.to_owned(), count))
            .collect()
    }
}
