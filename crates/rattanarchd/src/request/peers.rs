//! Destinations of requests: the local upstream and the peers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use rattanarch_admission::RetryBudget;
use rattanarch_types::Record;

use crate::connection::Pool;

/// An address that requests are sent to: the local upstream or a peer.
#[derive(Debug)]
pub(crate) struct Destination {
    pub(crate) pool: Arc<Pool>,
    /// Limits the retries sent to this destination.
    pub(crate) retry_budget: Mutex<RetryBudget>,
}

impl Destination {
    pub(crate) fn new(address: SocketAddr, connections: u16) -> Arc<Self> {
        Arc::new(Self { pool: Pool::new(address, connections), retry_budget: Mutex::default() })
    }

    /// Records a sent request, which adds to the retry budget.
    pub(crate) fn record_request(&self) {
        self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner).deposit();
    }
}

/// The other members of the service, by the address where they accept requests.
#[derive(Debug)]
pub(crate) struct Peers {
    /// Maximum number of connections to each peer.
    connections: u16,
    destinations: Mutex<HashMap<SocketAddr, Arc<Destination>>>,
}

impl Peers {
    pub(crate) fn new(connections: u16) -> Self {
        Self { connections, destinations: Mutex::default() }
    }

    /// The peer at `address`. A new one is added, and peers that are not in `record` are removed
    /// then.
    pub(crate) fn get(&self, address: SocketAddr, record: &Record) -> Arc<Destination> {
        let mut destinations = self.destinations.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(peer) = destinations.get(&address) {
            return Arc::clone(peer);
        }
        destinations
            .retain(|other, _| record.members.values().any(|member| member.caller == *other));
        let peer = Destination::new(address, self.connections);
        destinations.insert(address, Arc::clone(&peer));
        peer
    }
}
