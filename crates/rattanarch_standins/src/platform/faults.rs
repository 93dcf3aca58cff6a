//! Faults that tests inject into the platform.

use serde::Deserialize;
use serde::Serialize;

/// Change to the faults of the platform; omitted fields keep their value.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether the connection of every call, including pending watches, is closed without a response.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub down: Option<bool>,
    /// Whether every call gets status 503 and takes no effect.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refuse: Option<bool>,
    /// Delay of every response, in milliseconds; a write takes effect before the delay.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delay_ms: Option<u64>,
    /// Number of accepted writes whose connection is closed without a response.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_answers: Option<u32>,
    /// Number of writes that take no effect and whose connection is closed without a response.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_requests: Option<u32>,
    /// Number of reads that return the previous version.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stale_reads: Option<u32>,
}

/// Faults that are currently active.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ActiveFaults {
    pub(crate) refuse: bool,
    pub(crate) delay_ms: u64,
    pub(crate) lose_answers: u32,
    pub(crate) lose_requests: u32,
    pub(crate) stale_reads: u32,
}

impl ActiveFaults {
    pub(crate) fn apply(&mut self, change: PlatformFaults) {
        self.refuse = change.refuse.unwrap_or(self.refuse);
        self.delay_ms = change.delay_ms.unwrap_or(self.delay_ms);
        self.lose_answers = change.lose_answers.unwrap_or(self.lose_answers);
        self.lose_requests = change.lose_requests.unwrap_or(self.lose_requests);
        self.stale_reads = change.stale_reads.unwrap_or(self.stale_reads);
    }
}

/// Decrements the number of remaining occurrences of a fault; returns whether the fault occurs now.
pub(crate) fn consume(remaining: &mut u32) -> bool {
    let active = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    active
}
