//! What lives for one connection.

mod bulk_client;
mod bulk_server;
mod peer_socket;

pub(crate) use bulk_client::pull;
pub(crate) use bulk_server::BulkServer;
pub(crate) use bulk_server::Holdings;
pub(crate) use peer_socket::Outbox;
pub(crate) use peer_socket::PeerSocket;
