//! What a run of load has shown.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// What a run of load has shown.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Length of the run, in seconds.
    pub seconds: f64,
    /// By kind of request.
    pub kinds: BTreeMap<String, KindReport>,
    /// By service.
    pub services: BTreeMap<String, ServiceReport>,
    /// Attempts by status and verdict, or by the error that ended them.
    pub answers: BTreeMap<String, u64>,
    /// Attempts without a right answer, by kind and what ended them.
    pub errors: BTreeMap<String, BTreeMap<String, u64>>,
    /// Answers that were not the request's own, or not whole.
    pub wrong: u64,
    /// What some of them were.
    pub wrong_examples: Vec<String>,
    /// Requests that were due while too many were under way.
    pub overflowed: u64,
    /// Times without service.
    pub unavailable: Unavailability,
    /// Idempotency keys of the writes that were answered as done.
    #[serde(skip)]
    pub acknowledged: Vec<String>,
}

/// What a run has shown of one kind. Latencies are those of right answers, from the time that the
/// request was due, retries included.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct KindReport {
    /// Requests sent.
    pub sent: u64,
    /// Requests that got their right answer.
    pub succeeded: u64,
    /// Requests that did not.
    pub failed: u64,
    /// Attempts beyond the first.
    pub retried: u64,
    /// Median latency, in microseconds.
    pub p50_us: u64,
    /// 90th percentile of the latency, in microseconds.
    pub p90_us: u64,
    /// 99th percentile of the latency, in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile of the latency, in microseconds.
    pub p999_us: u64,
    /// Greatest latency, in microseconds.
    pub max_us: u64,
}

/// What a run has shown of one service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ServiceReport {
    /// Right answers by upstream.
    pub instances: BTreeMap<String, u64>,
    /// Most requests of an upstream over the mean of all; 1 is even.
    pub imbalance: f64,
    /// How often a key was answered by another upstream than before.
    pub owner_changes: u64,
}

/// Times without service: from a key's first refused or broken attempt to its next right answer,
/// whichever request gets it, or to its latest failure if none came after that. An attempt whose target could not be reached counts only if its
/// request failed for good.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Unavailability {
    /// Keys that were asked for.
    pub keys: u64,
    /// Keys that had such a time.
    pub affected: u64,
    /// The longest, in milliseconds.
    pub longest_ms: u64,
    /// Sum over all keys, in milliseconds.
    pub total_ms: u64,
}

impl LoadReport {
    /// Requests sent.
    pub fn sent(&self) -> u64 {
        self.kinds.values().map(|kind| kind.sent).sum()
    }

    /// Requests that got their right answer.
    pub fn succeeded(&self) -> u64 {
        self.kinds.values().map(|kind| kind.succeeded).sum()
    }
}
