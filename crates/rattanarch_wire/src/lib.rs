//! Wire types and the authenticated codec between daemons.
//!
//! Daemons exchange two kinds of frame. A [`Packet`] or a [`Digest`] is one datagram: lease messages to one
//! member with the sender's versions, or the sender's versions alone. A [`WireQuota`] is a
//! datagram between a daemon and the coordinator of client accounts. [`WireSuspects`] tells of requests that were in flight
//! when upstreams ended. A [`Pull`] and its [`PullReply`] are one
//! exchange over a WebSocket connection, for content that does not fit in a datagram. Each frame is CBOR after
//! a tag that [`Codec`] computes with the shared secret. A frame that has no valid tag, is malformed or is for
//! another member is rejected with an error and has no effect.
//!
//! Wire types are separate from the types of the protocol, so that each can change on its own. The
//! conversions check what the encoding can't guarantee.

mod codec;
mod digest;
mod error;
mod message;
mod packet;
mod pull;
mod quota;
mod record;
mod replay_window;
mod suspects;

pub use codec::Codec;
pub use digest::Digest;
pub use error::WireError;
pub use message::WireMessage;
pub use packet::Knowledge;
pub use packet::MAX_DATAGRAM_BYTES;
pub use packet::Packet;
pub use pull::Pull;
pub use pull::PullReply;
pub use quota::QuotaMessage;
pub use quota::WireQuota;
pub use record::WireMember;
pub use record::WireRecord;
pub use replay_window::ReplayWindow;
pub use suspects::MAX_WIRE_SUSPECTS;
pub use suspects::SuspectsMessage;
pub use suspects::WireSuspect;
pub use suspects::WireSuspects;
