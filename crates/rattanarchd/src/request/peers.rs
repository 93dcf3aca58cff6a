//! Upstreams and peers as this daemon has experienced them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rattanarch_types::Record;

use crate::connection::Pool;

/// Share of a new latency in the mean, as a divisor.
const MEAN_SHARE: u64 = 8;
/// Latency of a peer that has not answered yet.
const FIRST_LATENCY: Duration = Duration::from_millis(1);

/// One address that requests are sent to.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) pool: Arc<Pool>,
    /// Requests sent and not yet ended.
    in_flight: AtomicU32,
    /// Mean time to the head of an answer, in microseconds.
    latency: AtomicU64,
}

/// A request on its way to a peer, until dropped.
#[derive(Debug)]
pub(crate) struct Flight {
    peer: Arc<Peer>,
    start: Instant,
}

impl Peer {
    pub(crate) fn new(address: SocketAddr, connections: u16) -> Arc<Self> {
        let latency = AtomicU64::new(FIRST_LATENCY.as_micros() as u64);
        let pool = Pool::new(address, connections);
        Arc::new(Self { pool, in_flight: AtomicU32::new(0), latency })
    }

    /// Expected wait: requests in flight, the new one included, times the mean latency.
    pub(crate) fn cost(&self) -> u64 {
        let in_flight = u64::from(self.in_flight.load(Ordering::Relaxed));
        (in_flight + 1) * self.latency.load(Ordering::Relaxed)
    }

    /// Counts a request until the result is dropped.
    pub(crate) fn begin(self: &Arc<Self>) -> Flight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        Flight { peer: Arc::clone(self), start: Instant::now() }
    }
}

impl Flight {
    /// Notes that the attempt has ended, with an answer or a timeout.
    pub(crate) fn note_latency(&self) {
        let sample = self.start.elapsed().as_micros() as u64;
        let latency = &self.peer.latency;
        let mean = latency.load(Ordering::Relaxed);
        // A lost update between two threads costs one sample.
        let mean = mean - mean / MEAN_SHARE + sample / MEAN_SHARE;
        latency.store(mean.max(1), Ordering::Relaxed);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.peer.in_flight.fetch_sub(1, Ordering::Relaxed);
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
