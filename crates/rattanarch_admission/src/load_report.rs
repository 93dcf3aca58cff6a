//! What an upstream says of its own load.

/// Answer of an upstream's load endpoint; it may lag or mislead.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that it says are running.
    pub running: u32,
    /// Requests that it says it bears.
    pub slots: u32,
}
