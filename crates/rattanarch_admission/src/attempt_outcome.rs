//! How a request at an upstream ended.

use std::time::Duration;

/// How a request at an upstream ended, as the daemon saw it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// Responded after this time, from the send to the first byte of the answer.
    Responded(Duration),
    /// Refused by the upstream for want of room.
    Refused,
    /// Refused by the upstream because it is cold.
    Cold,
    /// Not answered: timed out, or the connection ended.
    Failed,
}
