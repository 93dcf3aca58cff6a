//! What an upstream has done, for tests to judge by.

use std::collections::VecDeque;

use rattanarch_types::Fence;
use rattanarch_types::InstanceId;
use rattanarch_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use crate::upstream::UpstreamSettings;

/// Most entries kept: some 100 MB at most.
const ENTRY_LIMIT: usize = 400_000;

/// How a request ended at the upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It took effect.
    Done,
    /// The grant ended before it took effect; it took none.
    GrantEnded,
    /// The daemon cancelled it before it took effect; it took none.
    Cancelled,
    /// Its deadline passed before it took effect; it took none.
    Expired,
    /// The caller went away or the upstream fell over before it took effect; it took none.
    Abandoned,
}

/// What happened.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum JournalEvent {
    /// A grant was taken.
    Grant {
        /// Its fence.
        fence: Fence,
        /// Its end on the upstream's clock, in milliseconds.
        until_ms: u64,
    },
    /// A request was let in and its work began.
    Started {
        /// Number of the execution, unique in this journal.
        run: u64,
        /// Id of the request.
        request: String,
        /// Method of the request.
        method: String,
        /// Path of the request.
        path: String,
        /// Key of the request; empty without one.
        key: String,
        /// Fence that it carried.
        fence: Option<Fence>,
        /// Idempotency key that it carried.
        idempotency: Option<String>,
    },
    /// The work of a request ended; from now on it takes no effect.
    Ended {
        /// Number of the execution.
        run: u64,
        /// How it ended.
        outcome: Outcome,
    },
}

/// One entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JournalEntry {
    /// When, in microseconds on the machine's clock.
    pub at_us: u64,
    /// What happened.
    #[serde(flatten)]
    pub event: JournalEvent,
}

/// All that an upstream has recorded, in order of time.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Journal {
    /// Service of the upstream.
    pub service: ServiceName,
    /// Name of the upstream.
    pub instance: InstanceId,
    /// Whether the upstream refuses work without the fence of the grant in force.
    pub checks_fence: bool,
    /// How far the upstream's clock is ahead of the machine's, in milliseconds.
    pub clock_offset: u64,
    /// Entries, the oldest first.
    pub entries: VecDeque<JournalEntry>,
    /// Entries no longer kept; a check of a journal that lost some proves nothing.
    pub dropped: u64,
}

impl Journal {
    /// An empty journal.
    pub(crate) fn new(settings: &UpstreamSettings) -> Self {
        let UpstreamSettings { service, instance, checks_fence, clock_offset, .. } =
            settings.clone();
        Self { service, instance, checks_fence, clock_offset, ..Self::default() }
    }

    /// Adds an entry; forgets the oldest when there are too many.
    pub(crate) fn add(&mut self, at_us: u64, event: JournalEvent) {
        if self.entries.len() == ENTRY_LIMIT {
            self.entries.pop_front();
            self.dropped += 1;
        }
        self.entries.push_back(JournalEntry { at_us, event });
    }
}
