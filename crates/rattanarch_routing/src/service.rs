//! What operators say of a service.

use std::time::Duration;

use rattanarch_types::ServiceName;

/// A service as its operators describe it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
    /// Whether each key has one owner.
    pub keyed: bool,
    /// Connections that one upstream accepts, from all callers together.
    pub max_connections: u32,
    /// How long an upstream stays cold after its start.
    pub cold_time: Duration,
    /// Requests a second that a cold upstream bears.
    pub cold_rate: f64,
}
