//! What lives as long as a request.

pub(crate) mod answers;
mod attempts;
mod call;
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
mod retry_shares;
mod step;
mod target;
mod trail;

pub(crate) use call::Call;
pub(crate) use call::strip_connection_headers;
pub(crate) use inbound::Inbound;
pub(crate) use outbound::Outbound;
pub(crate) use outcome::Failure;
pub(crate) use outcome::Outcome;
pub(crate) use outcome::Refusal;
pub(crate) use peers::Peer;
pub(crate) use peers::Peers;
pub(crate) use reason::Reason;
pub(crate) use step::GiveUp;
pub(crate) use step::Step;
pub(crate) use trail::Trail;
