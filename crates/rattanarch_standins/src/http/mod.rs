//! HTTP server shared by the emulators.

mod counted_stream;
mod response;
mod server;

pub(crate) use counted_stream::CountedStream;
pub use counted_stream::Traffic;
pub(crate) use response::Body;
pub(crate) use response::HandlerResult;
pub(crate) use response::Hangup;
pub(crate) use response::empty;
pub(crate) use response::json;
pub(crate) use response::with_body;
pub(crate) use server::Handler;
pub(crate) use server::read_body;
pub use server::run_server;
