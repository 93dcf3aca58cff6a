//! What lives for one connection.

mod bulk_client;
mod bulk_server;
mod caller_io;
mod caller_server;
mod link;
mod own_answer;
mod peer_socket;
mod pool;
mod progress;
mod wire;

pub(crate) use bulk_client::pull;
pub(crate) use bulk_server::BulkServer;
pub(crate) use bulk_server::EXCHANGE_BYTES;
pub(crate) use bulk_server::Holdings;
pub use caller_server::CallerServer;
pub(crate) use link::BusyLink;
pub(crate) use link::SendError;
pub(crate) use peer_socket::Outbox;
pub(crate) use peer_socket::PeerSocket;
pub(crate) use pool::Pool;
pub(crate) use pool::PoolError;
