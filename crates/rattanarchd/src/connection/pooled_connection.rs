//! One connection to an upstream or a peer, carrying one request at a time.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::JoinHandle;

use crate::connection::tracked_stream::TrackedStream;
use crate::request::OutgoingBody;

/// Largest response head and read buffer, in bytes.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// An open connection; closed when dropped.
#[derive(Debug)]
struct PooledConnection {
    sender: SendRequest<OutgoingBody>,
    stream: TrackedStream,
    driver: JoinHandle<()>,
    opened: Instant,
    /// Counts the connection against the pool's limit.
    _permit: OwnedSemaphorePermit,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.stream.stop_writes();
        self.driver.abort();
    }
}

/// A connection on which every earlier response was read to its end.
#[derive(Debug)]
pub(crate) struct IdleConnection {
    pooled: PooledConnection,
    idle_since: Instant,
}

/// A connection that carries a request; it becomes idle again only after the whole response was read.
#[derive(Debug)]
pub(crate) struct BusyConnection {
    pooled: PooledConnection,
    reused: bool,
}

/// Failure of a request on its connection.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SendError {
    /// No byte of the request was sent, and none will be.
    #[error("the connection closed before the request was sent")]
    Unsent(Option<Box<Request<OutgoingBody>>>),
    /// The connection failed after bytes were sent.
    #[error("the connection failed after the request was sent: {0}")]
    Broken(hyper::Error),
}

impl IdleConnection {
    /// Connects to `address` within `timeout`.
    pub(crate) async fn connect(
        address: SocketAddr,
        timeout: Duration,
        permit: OwnedSemaphorePermit,
    ) -> io::Result<Self> {
        let stream = tokio::time::timeout(timeout, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let stream = TrackedStream::new(stream);
        let opened = Instant::now();
        let mut codec = http1::Builder::new();
        codec.max_buf_size(MAX_BUFFER_BYTES);
        let handshake = codec.handshake(TokioIo::new(stream.clone())).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            // The task that waits for the response gets the same error.
            let _ = connection.await;
        });
        let pooled = PooledConnection { sender, stream, driver, opened, _permit: permit };
        Ok(Self { pooled, idle_since: opened })
    }

    /// Whether the connection may carry another request: it is open, has no unread bytes, was not opened before
    /// `retired_before`, and has been idle for less than `max_idle_time`.
    pub(crate) fn is_usable(
        &self,
        retired_before: Option<Instant>,
        max_idle_time: Duration,
    ) -> bool {
        if retired_before.is_some_and(|moment| self.pooled.opened < moment)
            || self.idle_since.elapsed() >= max_idle_time
        {
            return false;
        }
        !self.pooled.sender.is_closed() && self.pooled.stream.is_clean()
    }

    /// Starts a request on the connection.
    pub(crate) fn start_request(self) -> BusyConnection {
        let reused = self.idle_since != self.pooled.opened;
        self.pooled.stream.start_request();
        BusyConnection { pooled: self.pooled, reused }
    }
}

impl BusyConnection {
    /// Sends `request` and waits for the head of its response.
    ///
    /// # Errors
    /// [`SendError::Unsent`] guarantees that no byte was sent.
    pub(crate) async fn send(
        &mut self,
        request: Request<OutgoingBody>,
    ) -> Result<Response<Incoming>, SendError> {
        if self.pooled.sender.ready().await.is_err() && !self.pooled.stream.stop_writes() {
            return Err(SendError::Unsent(Some(Box::new(request))));
        }
        let sent = self.pooled.sender.try_send_request(request).await;
        self.pooled.stream.head_received();
        sent.map_err(|mut error| {
            let unsent = error.take_message();
            if self.pooled.stream.stop_writes() {
                return SendError::Broken(error.into_error());
            }
            SendError::Unsent(unsent.map(Box::new))
        })
    }

    /// Socket of the connection, with which the request can be stopped while [`BusyConnection::send`] runs.
    pub(crate) fn stream(&self) -> TrackedStream {
        self.pooled.stream.clone()
    }

    /// Whether the connection has carried an earlier request.
    pub(crate) fn is_reused(&self) -> bool {
        self.reused
    }

    /// Returns the connection to the idle state after the whole response was read.
    pub(crate) fn finish(self) -> IdleConnection {
        IdleConnection { pooled: self.pooled, idle_since: Instant::now() }
    }
}
