//! What lives as long as a request.

mod attempts;
mod call;
mod decision;
mod forward;
mod inbound;
mod mark;
mod open_tries;
mod outbound;
mod outcome;
mod patience;
mod peers;
mod progress;
mod reason;
mod request_trace;
pub(crate) mod responses;
mod retry_shares;
mod target;

pub(crate) use call::Call;
pub(crate) use call::strip_connection_headers;
pub(crate) use decision::Decision;
pub(crate) use decision::GiveUp;
pub(crate) use inbound::Inbound;
pub(crate) use outbound::Outbound;
pub(crate) use outcome::Failure;
pub(crate) use outcome::Outcome;
pub(crate) use outcome::Refusal;
pub(crate) use peers::Peer;
pub(crate) use peers::Peers;
pub(crate) use reason::Reason;
pub(crate) use request_trace::RequestTrace;
