//! Pool of HTTP connections to one address.

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

/// Time after which an idle connection isn't reused: middleboxes forget idle flows, and a new connection costs about
/// 1 ms.
const MAX_IDLE_TIME: Duration = Duration::from_secs(10);

/// Pool of connections to one address, limited in number. Each connection carries one request at a time.
#[derive(Debug)]
pub(crate) struct Pool {
    address: SocketAddr,
    permits: Arc<Semaphore>,
    state: Mutex<PoolState>,
}

#[derive(Debug, Default)]
struct PoolState {
    /// In the order of their last use. The most recently used one is taken first, so that only as many as needed stay
    /// in use.
    idle: Vec<IdleConnection>,
    /// Connections opened before this moment aren't reused.
    retired_before: Option<Instant>,
}

/// Why no connection is available; no byte of the request was sent in either case.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PoolError {
    /// The limit of connections is reached.
    #[error("every connection to {0} is in use")]
    Full(SocketAddr),
    /// No connection could be opened.
    #[error("no connection to {address} could be opened: {source}")]
    Connect {
        /// Address of the pool.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}

impl Pool {
    /// Creates a pool of at most `max_connections` connections to `address`.
    pub(crate) fn new(address: SocketAddr, max_connections: u16) -> Arc<Self> {
        let permits = Arc::new(Semaphore::new(usize::from(max_connections)));
        Arc::new(Self { address, permits, state: Mutex::default() })
    }

    /// Address of the connections' other end.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes the most recently used idle connection that is still usable, or opens one before `deadline`.
    ///
    /// # Errors
    /// See [`PoolError`].
    pub(crate) async fn checkout(&self, deadline: Instant) -> Result<BusyConnection, PoolError> {
        if let Some(idle) = self.take_idle() {
            return Ok(idle.start_request());
        }
        self.connect(deadline).await
    }

    /// Opens a connection before `deadline`, even if idle ones exist.
    ///
    /// # Errors
    /// See [`PoolError`].
    pub(crate) async fn connect(&self, deadline: Instant) -> Result<BusyConnection, PoolError> {
        let permits = Arc::clone(&self.permits);
        let permit = permits.try_acquire_owned().map_err(|_| PoolError::Full(self.address))?;
        let remaining = deadline.saturating_duration_since(Instant::now());
        let opened =
            IdleConnection::connect(self.address, remaining.min(CONNECT_TIMEOUT), permit).await;
        let idle = opened.map_err(|source| PoolError::Connect { address: self.address, source })?;
        Ok(idle.start_request())
    }

    /// Returns a connection to the pool after its response was read to the end.
    pub(crate) fn put_back(&self, connection: BusyConnection) {
        let connection = connection.finish();
        let mut state = self.lock();
        if connection.is_usable(state.retired_before, MAX_IDLE_TIME) {
            state.idle.push(connection);
        }
    }

    /// Retires the connections opened before `moment`: idle ones close now, the others after their current request.
    pub(crate) fn retire_before(&self, moment: Instant) {
        let mut state = self.lock();
        state.retired_before = state.retired_before.max(Some(moment));
        let retired_before = state.retired_before;
        state.idle.retain(|idle| idle.is_usable(retired_before, MAX_IDLE_TIME));
    }

    fn take_idle(&self) -> Option<IdleConnection> {
        let mut state = self.lock();
        let retired_before = state.retired_before;
        while let Some(idle) = state.idle.pop() {
            if idle.is_usable(retired_before, MAX_IDLE_TIME) {
                return Some(idle);
            }
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
