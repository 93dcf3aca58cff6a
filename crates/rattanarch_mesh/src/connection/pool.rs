//! Connections to one address.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
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
use crate::connection::limited_stream::LimitedStream;
use crate::connection::limited_stream::SharedLimit;
use crate::process::ADMIT_AFTER_STOP;

/// Largest head and read buffer of an answer, in bytes: a large answer is read in few pieces.
const MAX_BUFFER: usize = 64 << 10;

/// Longest time that sent bytes may go without an acknowledgement, in milliseconds: below the
/// shortest deadline that is worth waiting for, and many round trips.
const USER_TIMEOUT_MS: u32 = 2_000;

/// How a pool opens and keeps connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolOptions {
    /// Longest time to open one.
    pub(crate) connect_timeout: Duration,
    /// Time after which an idle one is not used again.
    pub(crate) idle_limit: Duration,
    /// Idle ones that are kept.
    pub(crate) max_idle: usize,
}

/// Connections to one address that carry one request at a time.
#[derive(Debug)]
pub(crate) struct Pool {
    address: SocketAddr,
    options: PoolOptions,
    idle: RefCell<Vec<PooledConnection>>,
    opened: Cell<u64>,
}

/// How to choose a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Checkout {
    /// An idle one will do: what fails on it can be repeated.
    Reuse,
    /// A fresh one: nothing of an earlier request may be left on it, and that it is open is known.
    Fresh,
}

/// An open connection; closed when dropped.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    limit: SharedLimit,
    since: Instant,
    /// Requests that it carried before.
    uses: u32,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// How a request failed on its connection.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SendError {
    /// No byte of the request has left, and none will.
    #[error("the request was not sent: {0}")]
    Unsent(String),
    /// The connection failed after bytes may have left.
    #[error("the connection failed after the request was sent: {0}")]
    Broken(String),
}

impl Pool {
    /// A pool of connections to the upstream on this machine.
    pub(crate) fn to_upstream(address: SocketAddr) -> Self {
        let options = PoolOptions {
            connect_timeout: Duration::from_millis(500),
            // The upstreams of the known deployments close idle connections after 10 s.
            idle_limit: Duration::from_secs(4),
            max_idle: 24,
        };
        Self::new(address, options)
    }

    /// A pool of connections to another daemon.
    pub(crate) fn to_peer(address: SocketAddr) -> Self {
        let options = PoolOptions {
            // Some eighty round trips between data centres of a region.
            connect_timeout: Duration::from_millis(250),
            // A stopping daemon closes idle connections after its linger, and those that it answers on before: what is
            // sent on one that is idle for less does not meet the end.
            idle_limit: ADMIT_AFTER_STOP.saturating_sub(MAX_ONE_WAY_DELAY),
            max_idle: 32,
        };
        Self::new(address, options)
    }

    fn new(address: SocketAddr, options: PoolOptions) -> Self {
        Self { address, options, idle: RefCell::default(), opened: Cell::new(0) }
    }

    /// Connections opened so far.
    pub(crate) fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Takes an idle connection, the last used first, or opens one.
    ///
    /// # Errors
    /// If none can be opened; then no byte has left.
    pub(crate) async fn checkout(&self, checkout: Checkout) -> io::Result<PooledConnection> {
        if checkout == Checkout::Reuse {
            loop {
                let Some(mut link) = self.idle.borrow_mut().pop() else { break };
                if link.is_usable(self.options.idle_limit) && link.sender.ready().await.is_ok() {
                    return Ok(link);
                }
            }
        }
        self.connect().await
    }

    /// Takes a connection back after its answer was read to the end.
    pub(crate) fn put_back(&self, mut link: PooledConnection) {
        link.since = Instant::now();
        link.uses += 1;
        let mut idle = self.idle.borrow_mut();
        if idle.len() < self.options.max_idle && !link.sender.is_closed() {
            idle.push(link);
        }
    }

    /// Closes the idle connections: one of them has turned out to be dead.
    pub(crate) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    async fn connect(&self) -> io::Result<PooledConnection> {
        self.opened.set(self.opened.get() + 1);
        let opening = TcpStream::connect(self.address);
        let stream = tokio::time::timeout(self.options.connect_timeout, opening).await??;
        stream.set_nodelay(true)?;
        sockopt::set_tcp_user_timeout(&stream, USER_TIMEOUT_MS)?;
        let mut codec = http1::Builder::new();
        codec.max_buf_size(MAX_BUFFER);
        let limit = SharedLimit::default();
        let stream = LimitedStream::new(stream, Rc::clone(&limit));
        let handshake = codec.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let driver = tokio::task::spawn_local(async move {
            // The same error reaches whoever waits for the answer.
            let _ = connection.await;
        });
        Ok(PooledConnection { sender, driver, limit, since: Instant::now(), uses: 0 })
    }
}

impl PooledConnection {
    /// Whether the connection has carried an earlier request.
    pub(crate) fn is_reused(&self) -> bool {
        self.uses > 0
    }

    /// Sends `request` and waits for the head of its answer.
    ///
    /// # Errors
    /// [`SendError::Unsent`] promises that no byte has left.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
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
        !self.sender.is_closed() && self.since.elapsed() < limit
    }
}
