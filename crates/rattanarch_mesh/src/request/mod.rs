//! Handling of a single request: routing, forwarding, retries and its log lines.

mod account_request;
mod attempts;
mod authentication;
mod call;
mod caller_timeouts;
mod decision;
mod explain;
mod forward;
mod forward_headers;
mod inbound;
mod outbound;
mod outcome;
mod peers;
mod pending_attempts;
mod progress;
mod reason;
mod request_trace;
pub(crate) mod responses;
mod retry_shares;
mod route;
mod target;

pub(crate) use authentication::KeyError;
pub(crate) use call::Call;
pub(crate) use call::strip_connection_headers;
pub(crate) use decision::Decision;
pub(crate) use decision::GiveUp;
pub(crate) use explain::explain;
pub(crate) use inbound::Inbound;
pub(crate) use outbound::Outbound;
pub(crate) use outcome::Failure;
pub(crate) use outcome::Outcome;
pub(crate) use outcome::Refusal;
pub(crate) use peers::Peer;
pub(crate) use peers::Peers;
pub(crate) use reason::Reason;
pub(crate) use request_trace::RequestTrace;
