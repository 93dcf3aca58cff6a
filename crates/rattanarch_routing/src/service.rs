//! The configuration of a service.

use std::time::Duration;

use rattanarch_types::ServiceName;

/// A service as its operators configured it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
    /// Whether each key has one owner; if not, any instance may serve any request.
    pub keyed: bool,
    /// Path at which an upstream answers health checks.
    pub health_path: Option<String>,
    /// Connections that one upstream accepts from all callers together.
    pub max_connections: u32,
    /// How long an upstream stays cold after its start.
    pub cold_time: Duration,
    /// Requests per second that a cold upstream can handle.
    pub cold_rate: f64,
}
