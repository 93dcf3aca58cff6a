//! Settings of an upstream.

use std::time::Duration;

use rattanarch_types::InstanceId;
use rattanarch_types::ServiceName;

/// Settings of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// Announced service.
    pub service: ServiceName,
    /// Instance name in responses.
    pub instance: InstanceId,
    /// Maximum number of concurrent requests when warm; at least 1.
    pub slots: u16,
    /// Whether requests need the fence of the current grant.
    pub checks_fence: bool,
    /// Whether the upstream starts cold.
    pub cold: bool,
    /// Processing time of one request without faults.
    pub work_time: Duration,
    /// Offset of its clock ahead of the clock of the machine, in milliseconds.
    pub clock_offset: u64,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            service: "trade-desk".to_owned(),
            instance: "upstream".to_owned(),
            slots: 20,
            checks_fence: true,
            cold: false,
            work_time: Duration::from_millis(2),
            clock_offset: 0,
        }
    }
}
