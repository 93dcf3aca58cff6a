//! Settings of the request handler.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use rattanarch_types::InstanceId;
use rattanarch_types::ServiceName;

/// Settings of the request handler; constant while the process runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestSettings {
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Slot that this daemon runs in.
    pub instance: InstanceId,
    /// Upstream beside this daemon.
    pub upstream: SocketAddr,
    /// Whether the upstream refuses requests that do not carry the granted fence.
    pub checks_fence: bool,
    /// Number of concurrent requests that a warm upstream can handle; at least 1.
    pub slots: u16,
    /// Maximum number of connections to the upstream; upstreams accept 120 to 130.
    pub connections: u16,
    /// Maximum number of connections to each peer.
    pub peer_connections: u16,
    /// Maximum number of connections from callers and forwarding peers.
    pub caller_connections: u16,
    /// Maximum time to receive a request head, and maximum idle time between two requests.
    pub head_timeout: Duration,
    /// Maximum time without progress while a caller sends a body or reads a response, and while an
    /// upstream sends a response.
    pub body_timeout: Duration,
    /// Maximum request body that is buffered before it is sent on, in bytes. Larger bodies are
    /// streamed and never sent twice.
    pub body_buffer: usize,
    /// Maximum request body, in bytes.
    pub body_limit: u64,
    /// How long to wait for the end of a request that timed out or whose caller went away.
    pub unresolved_timeout: Duration,
}

impl Default for RequestSettings {
    fn default() -> Self {
        let unset = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            service: ServiceName::new(),
            instance: InstanceId::new(),
            upstream: unset,
            checks_fence: true,
            slots: 20,
            connections: 120,
            peer_connections: 64,
            caller_connections: 1_024,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            body_buffer: 16 * 1024,
            body_limit: 64 * 1024 * 1024,
            unresolved_timeout: Duration::from_secs(5),
        }
    }
}

impl RequestSettings {
    /// Sets the service that the upstream belongs to.
    pub fn with_service(mut self, service: impl Into<ServiceName>) -> Self {
        self.service = service.into();
        self
    }

    /// Sets the slot that this daemon runs in.
    pub fn with_instance(mut self, instance: impl Into<InstanceId>) -> Self {
        self.instance = instance.into();
        self
    }

    /// Sets the address of the upstream.
    pub fn with_upstream(mut self, upstream: SocketAddr) -> Self {
        self.upstream = upstream;
        self
    }

    /// Sets whether the upstream checks fences.
    pub fn with_checks_fence(mut self, checks_fence: bool) -> Self {
        self.checks_fence = checks_fence;
        self
    }

    /// Sets the number of concurrent requests that a warm upstream can handle.
    pub fn with_slots(mut self, slots: u16) -> Self {
        self.slots = slots.max(1);
        self
    }

    /// Sets the maximum number of connections to the upstream.
    pub fn with_connections(mut self, connections: u16) -> Self {
        self.connections = connections;
        self
    }

    /// Sets the maximum number of connections from callers and forwarding peers.
    pub fn with_caller_connections(mut self, connections: u16) -> Self {
        self.caller_connections = connections;
        self
    }

    /// Sets the maximum time to receive a request head.
    pub fn with_head_timeout(mut self, timeout: Duration) -> Self {
        self.head_timeout = timeout;
        self
    }

    /// Sets the maximum time without progress within a body.
    pub fn with_body_timeout(mut self, timeout: Duration) -> Self {
        self.body_timeout = timeout;
        self
    }

    /// Sets the maximum request body, in bytes.
    pub fn with_body_limit(mut self, limit: u64) -> Self {
        self.body_limit = limit;
        self
    }

    /// Sets how long to wait for the end of a request that timed out or whose caller went away.
    pub fn with_unresolved_timeout(mut self, unresolved_timeout: Duration) -> Self {
        self.unresolved_timeout = unresolved_timeout;
        self
    }
}
