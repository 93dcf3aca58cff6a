//! Connections to one address.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Semaphore;

use crate::connection::pooled_connection::BusyConnection;
use crate::connection::pooled_connection::IdleConnection;

/// Longest time to open a connection; a live upstream opens one in about 1 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an idle connection is not used again: middleboxes forget idle flows, and a
/// fresh connection costs about 1 ms.
const IDLE_LIMIT: Duration = Duration::from_secs(10);

/// Bounded set of connections to one address.
#[derive(Debug)]
pub(crate) struct Pool {
    address: SocketAddr,
    places: Arc<Semaphore>,
    state: Mutex<PoolState>,
}

#[derive(Debug, Default)]
struct PoolState {
    /// Last used last, so that few connections stay warm.
    idle: Vec<IdleConnection>,
    /// Connections made before this moment are not used again.
    condemned: Option<Instant>,
}

/// Why no connection could be had; in each case no byte of the request has left.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PoolError {
    /// The bound on connections is reached.
    #[error("every connection to {0} is in use")]
    Full(SocketAddr),
    /// No connection could be opened.
    #[error("no connection to {address} could be opened: {source}")]
    Connect {
        /// Address that was tried.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
}

impl Pool {
    /// A pool of at most `connections` to `address`.
    pub(crate) fn new(address: SocketAddr, connections: u16) -> Arc<Self> {
        let places = Arc::new(Semaphore::new(usize::from(connections)));
        Arc::new(Self { address, places, state: Mutex::default() })
    }

    /// Address that the connections lead to.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes an idle connection that passes its checks, or opens one before `deadline`.
    ///
    /// # Errors
    /// See [`PoolError`].
    pub(crate) async fn checkout(&self, deadline: Instant) -> Result<BusyConnection, PoolError> {
        if let Some(link) = self.take_idle() {
            return Ok(link.begin());
        }
        self.connect(deadline).await
    }

    /// Opens a connection even if idle ones exist.
    ///
    /// # Errors
    /// See [`PoolError`].
    pub(crate) async fn connect(&self, deadline: Instant) -> Result<BusyConnection, PoolError> {
        let places = Arc::clone(&self.places);
        let place = places.try_acquire_owned().map_err(|_| PoolError::Full(self.address))?;
        let left = deadline.saturating_duration_since(Instant::now());
        let opened = IdleConnection::connect(self.address, left.min(CONNECT_TIMEOUT), place).await;
        let link = opened.map_err(|source| PoolError::Connect { address: self.address, source })?;
        Ok(link.begin())
    }

    /// Takes a connection back after its answer was read to the end.
    pub(crate) fn put_back(&self, link: BusyConnection) {
        let link = link.finish();
        let mut state = self.lock();
        if link.is_usable(state.condemned, IDLE_LIMIT) {
            state.idle.push(link);
        }
    }

    /// Gives up the connections made before `moment`: idle ones close now, the others after the
    /// request they carry.
    pub(crate) fn retire_before(&self, moment: Instant) {
        let mut state = self.lock();
        state.condemned = state.condemned.max(Some(moment));
        let condemned = state.condemned;
        state.idle.retain(|link| link.is_usable(condemned, IDLE_LIMIT));
    }

    fn take_idle(&self) -> Option<IdleConnection> {
        let mut state = self.lock();
        let condemned = state.condemned;
        while let Some(link) = state.idle.pop() {
            if link.is_usable(condemned, IDLE_LIMIT) {
                return Some(link);
            }
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
