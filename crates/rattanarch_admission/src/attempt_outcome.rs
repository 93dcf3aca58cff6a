//! Outcome of one attempt at an upstream.

use std::time::Duration;

/// How an attempt at an upstream ended, as the daemon saw it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The upstream responded; the time from sending the request to the first byte of the response.
    Responded(Duration),
    /// Refused by the upstream because all its slots were taken.
    Refused,
    /// Refused by the upstream while the daemon still considers it cold: recently started, and below its full capacity.
    Cold,
    /// No response: the request timed out or the connection ended.
    Failed,
}
