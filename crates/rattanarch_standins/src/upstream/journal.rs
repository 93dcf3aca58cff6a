//! Record of the grants and executions of an upstream, which tests check.

use std::collections::VecDeque;

use rattanarch_types::Fence;
use rattanarch_types::InstanceId;
use rattanarch_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use crate::upstream::UpstreamSettings;

/// Maximum number of kept entries; they take about 100 MB at most.
const MAX_ENTRIES: usize = 400_000;

/// How the execution of a request ended at the upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request took effect.
    Done,
    /// The grant expired first; the request took no effect.
    GrantEnded,
    /// The daemon cancelled the request; it took no effect.
    Cancelled,
    /// The deadline passed first; the request took no effect.
    Expired,
    /// The caller disconnected or the upstream collapsed first; the request took no effect.
    Abandoned,
}

/// An event at the upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum JournalEvent {
    /// A grant was accepted.
    Grant {
        /// Fence of the grant.
        fence: Fence,
        /// End of the grant on the clock of the upstream, in milliseconds.
        until_ms: u64,
    },
    /// A request was admitted and its execution started.
    Started {
        /// Number of the execution, unique within the journal.
        run: u64,
        /// Request id.
        request: String,
        /// Method of the request.
        method: String,
        /// Path of the request.
        path: String,
        /// Key of the request; the last path segment if the request names none.
        key: String,
        /// Fence of the request, if any.
        fence: Option<Fence>,
        /// Idempotency key of the request, if any.
        idempotency: Option<String>,
    },
    /// The execution of a request ended; it takes no effect after this.
    Ended {
        /// Number of the execution.
        run: u64,
        /// How the execution ended.
        outcome: Outcome,
    },
}

/// One entry of a journal.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JournalEntry {
    /// Time of the event, in microseconds on the clock of the machine.
    pub at_us: u64,
    /// The event.
    #[serde(flatten)]
    pub event: JournalEvent,
}

/// All recorded events of an upstream, in the order of time.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Journal {
    /// Service of the upstream.
    pub service: ServiceName,
    /// Name of the upstream.
    pub instance: InstanceId,
    /// Whether the upstream refuses requests without the fence of the current grant.
    pub checks_fence: bool,
    /// Offset of the clock of the upstream ahead of the clock of the machine, in milliseconds.
    pub clock_offset: u64,
    /// Entries, oldest first.
    pub entries: VecDeque<JournalEntry>,
    /// Number of discarded entries; an incomplete journal cannot prove anything.
    pub dropped: u64,
}

impl Journal {
    /// Creates an empty journal.
    pub(crate) fn new(settings: &UpstreamSettings) -> Self {
        let UpstreamSettings { service, instance, checks_fence, clock_offset, .. } =
            settings.clone();
        Self { service, instance, checks_fence, clock_offset, ..Self::default() }
    }

    /// Appends an entry; discards the oldest one if the journal is full.
    pub(crate) fn add(&mut self, at_us: u64, event: JournalEvent) {
        if self.entries.len() == MAX_ENTRIES {
            self.entries.pop_front();
            self.dropped += 1;
        }
        self.entries.push_back(JournalEntry { at_us, event });
    }
}
