//! Load report of an upstream.

/// Response of an upstream's load endpoint. It may be out of date or wrong.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that are running, according to the upstream.
    pub running: u32,
    /// Requests that the upstream can run at once, according to itself.
    pub slots: u32,
}
