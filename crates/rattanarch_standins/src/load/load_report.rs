//! Report of a load run.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Report of a load run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Duration of the run, in seconds.
    pub seconds: f64,
    /// Results by kind of request.
    pub kinds: BTreeMap<String, KindReport>,
    /// Results by service.
    pub services: BTreeMap<String, ServiceReport>,
    /// Number of attempts by status and verdict, or by error.
    pub answers: BTreeMap<String, u64>,
    /// Number of attempts without a correct response, by kind of request and by status or error.
    pub errors: BTreeMap<String, BTreeMap<String, u64>>,
    /// Number of responses that belong to another request, or are incomplete without a connection error.
    pub wrong: u64,
    /// Descriptions of some wrong responses.
    pub wrong_examples: Vec<String>,
    /// Number of requests that were not sent because too many were in flight.
    pub overflowed: u64,
    /// Periods in which keys were not served.
    pub unavailable: Unavailability,
    /// Idempotency keys of the acknowledged writes.
    #[serde(skip)]
    pub acknowledged: Vec<String>,
}

/// Results of one kind of request. Latencies are those of correct responses. They start at the
/// scheduled send time and include retries.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct KindReport {
    /// Number of requests sent.
    pub sent: u64,
    /// Number of requests with a correct response.
    pub succeeded: u64,
    /// Number of requests without a correct response.
    pub failed: u64,
    /// Number of attempts after the first one of each request.
    pub retried: u64,
    /// Median latency, in microseconds.
    pub p50_us: u64,
    /// 90th percentile of the latency, in microseconds.
    pub p90_us: u64,
    /// 99th percentile of the latency, in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile of the latency, in microseconds.
    pub p999_us: u64,
    /// Maximum latency, in microseconds.
    pub max_us: u64,
}

/// Results of one service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ServiceReport {
    /// Number of correct responses by upstream.
    pub instances: BTreeMap<String, u64>,
    /// Requests of the busiest upstream divided by the mean of all upstreams; 1 if the load is even.
    pub imbalance: f64,
    /// Number of times that a key was served by a different upstream than before.
    pub owner_changes: u64,
}

/// Periods in which keys were not served. A period starts with the first refused, wrong or incomplete
/// attempt for a key. It ends with the next correct response to any request for the key, or with the
/// last failure if there is none. An attempt whose target was unreachable only counts if the request
/// finally failed.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Unavailability {
    /// Number of requested keys.
    pub keys: u64,
    /// Number of keys with such a period.
    pub affected: u64,
    /// Longest period, in milliseconds.
    pub longest_ms: u64,
    /// Total duration over all keys, in milliseconds.
    pub total_ms: u64,
}

impl LoadReport {
    /// Number of requests sent.
    pub fn sent(&self) -> u64 {
        self.kinds.values().map(|kind| kind.sent).sum()
    }

    /// Number of requests with a correct response.
    pub fn succeeded(&self) -> u64 {
        self.kinds.values().map(|kind| kind.succeeded).sum()
    }
}
