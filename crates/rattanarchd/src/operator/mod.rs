//! The operators' side: health, state, queries and commands over HTTP.
//!
//! A [`Server`] takes requests on a listener and threads of its own, so that operators reach the
//! daemon while callers keep it busy. It proves who asks ([`Access`]) and hands the statement to
//! the [`OperatorApi`], which answers queries from the platform or, while that is down, from what is
//! known, and carries commands out by conditional update.

mod access;
mod audit;
mod coverage;
mod dry_run;
mod firms;
mod fleet;
mod known;
mod names;
mod operator_api;
mod queries;
mod server;
mod status;
mod tables;
mod update;
mod write_id;
mod writer;

pub use access::Access;
pub use fleet::Fleet;
pub use fleet::LocalFleet;
pub use fleet::MemberLoad;
pub use fleet::Survey;
pub use operator_api::OperatorApi;
pub use server::Server;
pub use server::ServerError;
pub use status::MemberStatus;
pub use status::Status;
pub use write_id::random_write_id;
