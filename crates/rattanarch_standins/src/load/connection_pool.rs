//! Pool of connections to the targets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// HTTP/1.1 connection, which carries one request at a time.
pub(crate) type Connection = SendRequest<Empty<Bytes>>;

/// A connection could not be opened; nothing was sent.
#[derive(Clone, Debug, thiserror::Error)]
#[error("connect: {0}")]
pub(crate) struct ConnectError(String);

/// Idle connections by target.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl ConnectionPool {
    /// Returns an idle connection that is still open, or opens a new one.
    pub(crate) async fn take(&self, target: SocketAddr) -> Result<Connection, ConnectError> {
        while let Some(connection) = self.pop(target) {
            if connection.is_ready() {
                return Ok(connection);
            }
        }
        open(target).await
    }

    /// Returns a connection to the pool after its response was read completely.
    pub(crate) fn put(&self, target: SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.entry(target).or_default().push(connection);
    }

    fn pop(&self, target: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(&target)?.pop()
    }
}

async fn open(target: SocketAddr) -> Result<Connection, ConnectError> {
    let stream = TcpStream::connect(target).await;
    let stream = stream.map_err(|error| ConnectError(error.kind().to_string()))?;
    stream.set_nodelay(true).map_err(|error| ConnectError(error.kind().to_string()))?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| ConnectError(error.to_string()))?;
    // Errors of the connection are returned by the sender.
    tokio::spawn(async move { drop(connection.await) });
    Ok(sender)
}
