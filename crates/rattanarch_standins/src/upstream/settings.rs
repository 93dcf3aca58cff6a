//! What an upstream is started with.

use std::time::Duration;

use rattanarch_types::InstanceId;
use rattanarch_types::ServiceName;

/// What an upstream is started with.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// Service that it announces.
    pub service: ServiceName,
    /// Name that its answers carry.
    pub instance: InstanceId,
    /// Concurrent requests that it bears when warm; at least 1.
    pub slots: u16,
    /// Whether work must carry the fence of the grant in force.
    pub checks_fence: bool,
    /// Whether it starts cold.
    pub cold: bool,
    /// How long one request takes without faults.
    pub work_time: Duration,
    /// How far its own clock is ahead of the machine's, in milliseconds.
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
