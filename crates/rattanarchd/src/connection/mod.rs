//! What lives for one connection.

mod caller_io;
mod caller_server;
mod own_answer;
mod peer_socket;
mod pool;
mod pooled_connection;
mod progress;
mod pull;
mod pull_server;
mod tracked_stream;

pub use caller_server::CallerServer;
pub(crate) use peer_socket::Outbox;
pub(crate) use peer_socket::PeerSocket;
pub(crate) use pool::Pool;
pub(crate) use pool::PoolError;
pub(crate) use pooled_connection::BusyConnection;
pub(crate) use pooled_connection::SendError;
pub(crate) use pull::pull;
pub(crate) use pull_server::EXCHANGE_BYTES;
pub(crate) use pull_server::PullServer;
pub(crate) use pull_server::PullSource;
