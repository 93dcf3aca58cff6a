//! Faults that the platform is told to show.

use serde::Deserialize;
use serde::Serialize;

/// Change to the platform's faults; fields left out keep their value.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether every call ends with a closed connection, waiting watches included.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub down: Option<bool>,
    /// Whether every call is answered 503, and takes no effect.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refuse: Option<bool>,
    /// Delay of every answer, in milliseconds; a write takes effect before it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delay_ms: Option<u64>,
    /// Number of coming accepted writes whose connection is closed without an answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_answers: Option<u32>,
    /// Number of coming writes that take no effect and whose connection is closed without an answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_requests: Option<u32>,
    /// Number of coming reads that answer with the version before the current.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stale_reads: Option<u32>,
}

/// Faults in force.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct InForce {
    pub(crate) refuse: bool,
    pub(crate) delay_ms: u64,
    pub(crate) lose_answers: u32,
    pub(crate) lose_requests: u32,
    pub(crate) stale_reads: u32,
}

impl InForce {
    pub(crate) fn change(&mut self, change: PlatformFaults) {
        self.refuse = change.refuse.unwrap_or(self.refuse);
        self.delay_ms = change.delay_ms.unwrap_or(self.delay_ms);
        self.lose_answers = change.lose_answers.unwrap_or(self.lose_answers);
        self.lose_requests = change.lose_requests.unwrap_or(self.lose_requests);
        self.stale_reads = change.stale_reads.unwrap_or(self.stale_reads);
    }
}

/// Whether a fault that is due `left` more times is due now; counts it down.
pub(crate) fn take(left: &mut u32) -> bool {
    let due = *left > 0;
    *left = left.saturating_sub(1);
    due
}
