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
use crate::request::OutBody;

/// Largest head and read buffer of an answer, in bytes.
const MAX_BUFFER: usize = 64 * 1024;

/// Open connection. Closed when dropped.
#[derive(Debug)]
struct Link {
    sender: SendRequest<OutBody>,
    wire: TrackedStream,
    driver: JoinHandle<()>,
    created: Instant,
    /// Place among the pool's connections.
    _place: OwnedSemaphorePermit,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.wire.shut();
        self.driver.abort();
    }
}

/// A connection on which every earlier answer was read to its end.
#[derive(Debug)]
pub(crate) struct IdleConnection {
    link: Link,
    since: Instant,
}

/// A connection that carries a request; it becomes idle again only after the whole answer.
#[derive(Debug)]
pub(crate) struct BusyConnection {
    link: Link,
    reused: bool,
}

/// How a request failed on its connection.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SendError {
    /// No byte of the request has left, and none will.
    #[error("the connection closed before the request was sent")]
    Unsent(Option<Box<Request<OutBody>>>),
    /// The connection failed after bytes had left.
    #[error("the connection failed after the request was sent: {0}")]
    Broken(hyper::Error),
}

impl IdleConnection {
    /// Connects to `address`.
    pub(crate) async fn connect(
        address: SocketAddr,
        timeout: Duration,
        place: OwnedSemaphorePermit,
    ) -> io::Result<Self> {
        let stream = tokio::time::timeout(timeout, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let wire = TrackedStream::new(stream);
        let created = Instant::now();
        let mut codec = http1::Builder::new();
        codec.max_buf_size(MAX_BUFFER);
        let handshake = codec.handshake(TokioIo::new(wire.clone())).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            // The same error reaches whoever waits for the answer.
            let _ = connection.await;
        });
        let link = Link { sender, wire, driver, created, _place: place };
        Ok(Self { link, since: created })
    }

    /// Whether the connection may carry another request: open, silent, and neither older than
    /// `condemned` nor idle for `limit`.
    pub(crate) fn is_usable(&self, condemned: Option<Instant>, limit: Duration) -> bool {
        if condemned.is_some_and(|end| self.link.created < end) || self.since.elapsed() >= limit {
            return false;
        }
        !self.link.sender.is_closed() && self.link.wire.is_clean()
    }

    /// Takes the connection into use.
    pub(crate) fn begin(self) -> BusyConnection {
        let reused = self.since != self.link.created;
        self.link.wire.begin();
        BusyConnection { link: self.link, reused }
    }
}

impl BusyConnection {
    /// Sends `request` and waits for the head of its answer.
    ///
    /// # Errors
    /// [`SendError::Unsent`] promises that no byte has left.
    pub(crate) async fn send(
        &mut self,
        request: Request<OutBody>,
    ) -> Result<Response<Incoming>, SendError> {
        if self.link.sender.ready().await.is_err() && !self.link.wire.shut() {
            return Err(SendError::Unsent(Some(Box::new(request))));
        }
        let sent = self.link.sender.try_send_request(request).await;
        self.link.wire.end_head();
        sent.map_err(|mut error| {
            let message = error.take_message();
            if self.link.wire.shut() {
                return SendError::Broken(error.into_error());
            }
            SendError::Unsent(message.map(Box::new))
        })
    }

    /// Handle that can stop the request while [`BusyConnection::send`] runs.
    pub(crate) fn stream(&self) -> TrackedStream {
        self.link.wire.clone()
    }

    /// Whether the connection has carried an earlier request.
    pub(crate) fn is_reused(&self) -> bool {
        self.reused
    }

    /// Ends the use after the whole answer has been read.
    pub(crate) fn finish(self) -> IdleConnection {
        IdleConnection { link: self.link, since: Instant::now() }
    }
}
