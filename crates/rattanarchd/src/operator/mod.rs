//! Operators' interface: health, status, queries and commands over HTTP.
//!
//! A [`Server`] receives requests on a listener and threads of its own, so that operators reach the daemon while it is
//! busy with callers. It authenticates operators with [`Access`] and passes their statements to the [`OperatorApi`],
//! which executes commands by conditional updates, and responds to queries from the platform or, while the platform is
//! down, from what was last read.

mod access;
mod audit;
mod command_writer;
mod conditional_update;
mod coverage;
mod dry_run;
mod fleet;
mod name_claims;
mod object_cache;
mod object_reader;
mod operator_api;
mod query_executor;
mod server;
mod status;
mod table_builder;
mod write_id;

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
