//! Pool of HTTP connections to one address.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use rustix::net::sockopt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::connection::MAX_ONE_WAY_DELAY;
use crate::connection::RequestBody;
use crate::connection::limited_stream::LimitedStream;
use crate::connection::limited_stream::SharedLimit;
use crate::process::ADMIT_AFTER_STOP;

/// Largest response head and read buffer, in bytes: a large response is read in few pieces.
const MAX_BUFFER: usize = 64 << 10;

/// Longest time without a TCP acknowledgement of sent bytes, in milliseconds: many round trips, but below the shortest
/// deadline that is worth waiting for.
const USER_TIMEOUT_MS: u32 = 2_000;

/// Limits of a pool's connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolOptions {
    /// Longest time to open a connection.
    pub(crate) connect_timeout: Duration,
    /// Time after which an idle connection isn't reused.
    pub(crate) max_idle_time: Duration,
    /// Most idle connections that are kept.
    pub(crate) max_idle: usize,
}

/// Pool of connections to one address, each of which carries one request at a time.
#[derive(Debug)]
pub(crate) struct Pool {
    address: SocketAddr,
    options: PoolOptions,
    idle: RefCell<Vec<PooledConnection>>,
    opened: Cell<u64>,
}

/// Whether an idle connection may be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Checkout {
    /// An idle one may be used, since a request that fails on it can be retried.
    Reuse,
    /// Only a fresh one: it carries no late response to an earlier request and is known to be open.
    Fresh,
}

/// An open connection; closed when dropped.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    sender: SendRequest<RequestBody>,
    driver: JoinHandle<()>,
    limit: SharedLimit,
    idle_since: Instant,
    /// Number of requests that it has carried.
    uses: u32,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Failure of a request on its connection.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SendError {
    /// No byte of the request was sent, and none will be.
    #[error("the request was not sent: {0}")]
    Unsent(String),
    /// The connection failed after bytes may have been sent.
    #[error("the connection failed after the request was sent: {0}")]
    Broken(String),
}

impl Pool {
    /// Creates a pool of connections to the upstream on this machine.
    pub(crate) fn to_upstream(address: SocketAddr) -> Self {
        let options = PoolOptions {
            connect_timeout: Duration::from_millis(500),
            // The upstreams of the known deployments close idle connections after 10 s.
            max_idle_time: Duration::from_secs(4),
            max_idle: 24,
        };
        Self::new(address, options)
    }

    /// Creates a pool of connections to another daemon.
    pub(crate) fn to_peer(address: SocketAddr) -> Self {
        let options = PoolOptions {
            // Some 80 round trips between data centres of a region.
            connect_timeout: Duration::from_millis(250),
            // A stopping daemon closes idle connections once it admits no more requests, and earlier those on which it
            // responds. A request on a connection that was idle for less than this arrives before the close.
            max_idle_time: ADMIT_AFTER_STOP.saturating_sub(MAX_ONE_WAY_DELAY),
            max_idle: 32,
        };
        Self::new(address, options)
    }

    fn new(address: SocketAddr, options: PoolOptions) -> Self {
        Self { address, options, idle: RefCell::default(), opened: Cell::new(0) }
    }

    /// Number of connections opened so far.
    pub(crate) fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Takes the most recently used idle connection if `checkout` allows it, or opens one.
    ///
    /// # Errors
    /// If no connection can be opened; no byte of the request was sent then.
    pub(crate) async fn checkout(&self, checkout: Checkout) -> io::Result<PooledConnection> {
        if checkout == Checkout::Reuse {
            loop {
                let Some(mut pooled) = self.idle.borrow_mut().pop() else { break };
                if pooled.is_usable(self.options.max_idle_time)
                    && pooled.sender.ready().await.is_ok()
                {
                    return Ok(pooled);
                }
            }
        }
        self.connect().await
    }

    /// Returns a connection to the pool after its response was read to the end.
    pub(crate) fn put_back(&self, mut pooled: PooledConnection) {
        pooled.idle_since = Instant::now();
        pooled.uses += 1;
        let mut idle = self.idle.borrow_mut();
        if idle.len() < self.options.max_idle && !pooled.sender.is_closed() {
            idle.push(pooled);
        }
    }

    /// Closes all idle connections, after one of them turned out to be dead.
    pub(crate) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    async fn connect(&self) -> io::Result<PooledConnection> {
        self.opened.set(self.opened.get() + 1);
        let connecting = TcpStream::connect(self.address);
        let stream = tokio::time::timeout(self.options.connect_timeout, connecting).await??;
        stream.set_nodelay(true)?;
        sockopt::set_tcp_user_timeout(&stream, USER_TIMEOUT_MS)?;
        let mut codec = http1::Builder::new();
        codec.max_buf_size(MAX_BUFFER);
        let limit = SharedLimit::default();
        let stream = LimitedStream::new(stream, Rc::clone(&limit));
        let handshake = codec.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let driver = tokio::task::spawn_local(async move {
            // The task that waits for the response gets the same error.
            let _ = connection.await;
        });
        Ok(PooledConnection { sender, driver, limit, idle_since: Instant::now(), uses: 0 })
    }
}

impl PooledConnection {
    /// Whether the connection has carried an earlier request.
    pub(crate) fn is_reused(&self) -> bool {
        self.uses > 0
    }

    /// Sends `request` and waits for the head of its response.
    ///
    /// # Errors
    /// [`SendError::Unsent`] guarantees that no byte was sent.
    pub(crate) async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, SendError> {
        self.limit.borrow_mut().expect_head();
        let sent = self.sender.try_send_request(request).await;
        self.limit.borrow_mut().head_received();
        sent.map_err(|mut error| {
            let unsent = error.take_message().is_some();
            let reason = error.into_error().to_string();
            if unsent { SendError::Unsent(reason) } else { SendError::Broken(reason) }
        })
    }

    fn is_usable(&self, limit: Duration) -> bool {
        !self.sender.is_closed() && self.idle_since.elapsed() < limit
    }
}
