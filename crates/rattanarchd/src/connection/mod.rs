//! Connections to callers, peers and the upstream.

mod caller_progress;
mod caller_stream;
mod error_response;
mod peer_socket;
mod pool;
mod pooled_connection;
mod pull;
mod pull_server;
mod request_server;
mod tracked_stream;

pub(crate) use peer_socket::Outbox;
pub(crate) use peer_socket::PeerSocket;
pub(crate) use pool::Pool;
pub(crate) use pool::PoolError;
pub(crate) use pooled_connection::BusyConnection;
pub(crate) use pooled_connection::SendError;
pub(crate) use pull::pull;
pub(crate) use pull_server::PULL_OVERHEAD_BYTES;
pub(crate) use pull_server::PullServer;
pub(crate) use pull_server::PullSource;
pub use request_server::RequestServer;
