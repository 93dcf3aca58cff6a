//! Settings of the request path.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use rattanarch_types::InstanceId;
use rattanarch_types::ServiceName;

/// Settings of the request path; the same for the life of the process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestSettings {
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Slot that this daemon runs in.
    pub instance: InstanceId,
    /// Upstream beside this daemon.
    pub upstream: SocketAddr,
    /// Whether the upstream refuses requests without the fence it was granted.
    pub checks_fence: bool,
    /// Concurrent requests that the upstream bears when warm; at least 1.
    pub slots: u16,
    /// Most connections to the upstream; the brief's upstreams take 120 to 130.
    pub connections: u16,
    /// Most connections to one peer.
    pub peer_connections: u16,
    /// Most connections of callers, peers that forward included.
    pub caller_connections: u16,
    /// Longest time to receive the head of a request, and longest idle time between two.
    pub head_timeout: Duration,
    /// Longest silence of a caller that sends a body or reads an answer, and of an upstream that
    /// sends one.
    pub body_timeout: Duration,
    /// Largest request body that is read whole before it is sent on, in bytes. Larger ones are
    /// streamed and never sent twice.
    pub body_buffer: usize,
    /// Largest request body, in bytes.
    pub body_limit: u64,
    /// How long a request that was given up is watched for its late answer.
    pub linger: Duration,
}

impl Default for RequestSettings {
    fn default() -> Self {
        let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            service: ServiceName::new(),
            instance: InstanceId::new(),
            upstream: nowhere,
            checks_fence: true,
            slots: 20,
            connections: 120,
            peer_connections: 64,
            caller_connections: 1_024,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            body_buffer: 16 * 1024,
            body_limit: 64 * 1024 * 1024,
            linger: Duration::from_secs(5),
        }
    }
}

impl RequestSettings {
    /// Sets the service.
    pub fn with_service(mut self, service: impl Into<ServiceName>) -> Self {
        self.service = service.into();
        self
    }

    /// Sets the instance.
    pub fn with_instance(mut self, instance: impl Into<InstanceId>) -> Self {
        self.instance = instance.into();
        self
    }

    /// Sets the upstream's address.
    pub fn with_upstream(mut self, upstream: SocketAddr) -> Self {
        self.upstream = upstream;
        self
    }

    /// Sets whether the upstream checks fences.
    pub fn with_checks_fence(mut self, checks_fence: bool) -> Self {
        self.checks_fence = checks_fence;
        self
    }

    /// Sets the concurrent requests that the upstream bears.
    pub fn with_slots(mut self, slots: u16) -> Self {
        self.slots = slots.max(1);
        self
    }

    /// Sets the bound on connections to the upstream.
    pub fn with_connections(mut self, connections: u16) -> Self {
        self.connections = connections;
        self
    }

    /// Sets the bound on connections of callers.
    pub fn with_caller_connections(mut self, connections: u16) -> Self {
        self.caller_connections = connections;
        self
    }

    /// Sets the longest time to receive the head of a request.
    pub fn with_head_timeout(mut self, timeout: Duration) -> Self {
        self.head_timeout = timeout;
        self
    }

    /// Sets the longest silence within a body.
    pub fn with_body_timeout(mut self, timeout: Duration) -> Self {
        self.body_timeout = timeout;
        self
    }

    /// Sets the largest request body, in bytes.
    pub fn with_body_limit(mut self, limit: u64) -> Self {
        self.body_limit = limit;
        self
    }

    /// Sets how long a request that was given up is watched.
    pub fn with_linger(mut self, linger: Duration) -> Self {
        self.linger = linger;
        self
    }
}
