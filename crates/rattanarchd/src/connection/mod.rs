//! What lives for one connection.

mod caller_io;
mod caller_server;
mod link;
mod pool;
mod wire;

pub use caller_server::CallerServer;
pub(crate) use link::BusyLink;
pub(crate) use link::SendError;
pub(crate) use pool::Pool;
pub(crate) use pool::PoolError;
