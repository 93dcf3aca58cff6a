//! The own upstream and the peers, as requests are sent to them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use rattanarch_admission::RetryBudget;
use rattanarch_types::Record;

use crate::connection::Pool;

/// One address that requests are sent to.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) pool: Arc<Pool>,
    /// Bound on the retries that it gets.
    pub(crate) budget: Mutex<RetryBudget>,
}

impl Peer {
    pub(crate) fn new(address: SocketAddr, connections: u16) -> Arc<Self> {
        Arc::new(Self { pool: Pool::new(address, connections), budget: Mutex::default() })
    }

    /// Notes a request.
    pub(crate) fn earn(&self) {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner).deposit();
    }
}

/// The members of the service, by their caller address.
#[derive(Debug)]
pub(crate) struct Peers {
    /// Most connections to each.
    connections: u16,
    known: Mutex<HashMap<SocketAddr, Arc<Peer>>>,
}

impl Peers {
    pub(crate) fn new(connections: u16) -> Self {
        Self { connections, known: Mutex::default() }
    }

    /// The peer at `address`; forgets those that are not in `record`.
    pub(crate) fn get(&self, address: SocketAddr, record: &Record) -> Arc<Peer> {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(peer) = known.get(&address) {
            return Arc::clone(peer);
        }
        known.retain(|other, _| record.members.values().any(|member| member.caller == *other));
        let peer = Peer::new(address, self.connections);
        known.insert(address, Arc::clone(&peer));
        peer
    }
}
