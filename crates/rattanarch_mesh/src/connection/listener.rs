//! The listeners of the process.

use derive_more::Display;

/// An address that the daemon listens on for connections.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum Listener {
    /// Requests of callers on this machine.
    #[display("callers")]
    Callers,
    /// Requests of other daemons.
    #[display("peers")]
    Peers,
    /// Heartbeats and departures of the upstream.
    #[display("upstream")]
    Upstream,
    /// Readiness checks.
    #[display("ready")]
    Ready,
    /// Scrapes of the metrics.
    #[display("metrics")]
    Metrics,
}
