//! What a caller may send.

use std::time::Duration;

/// Bounds on what callers send and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time in which a head may arrive.
    pub head_time: Duration,
    /// How long a connection may be idle.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// The usual limits of HTTP servers, until operators have set theirs.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 64 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
