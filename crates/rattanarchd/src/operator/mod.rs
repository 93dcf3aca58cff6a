//! The operators' side: health, state, queries and commands over HTTP.
//!
//! A [`Server`] takes requests on a listener and threads of its own, so that operators reach the
//! daemon while callers keep it busy. It proves who asks ([`Access`]) and hands the statement to
//! the [`Desk`], which answers queries from the platform or, while that is down, from what is
//! known, and carries commands out by conditional update.

mod access;
mod audit;
mod coverage;
mod desk;
mod dry_run;
mod firms;
mod fleet;
mod ids;
mod known;
mod names;
mod queries;
mod server;
mod status;
mod tables;
mod update;
mod writer;

pub use access::Access;
pub use desk::Desk;
pub use fleet::Fleet;
pub use fleet::MemberLoad;
pub use fleet::Survey;
pub use fleet::ViewFleet;
pub use ids::draw_write_id;
pub use server::Server;
pub use server::ServerError;
pub use status::MemberStatus;
pub use status::Status;
