//! Wire types and the authenticated codec between daemons.
//!
//! Two kinds of frame travel between daemons. A [`Packet`] is one datagram: lease messages to one
//! member, with the sender's versions for gossip. A [`Pull`] and its [`PullReply`] answer are one
//! exchange over a WebSocket connection, for what does not fit a datagram. Each frame is CBOR
//! behind a tag that [`Codec`] makes from the shared secret; a frame without a valid tag, not
//! meant for this member or malformed is an error and changes nothing.
//!
//! Wire types are apart from the types of the protocol, so that either may change alone;
//! conversions check what the wire can't promise.

mod codec;
mod digest;
mod error;
mod message;
mod packet;
mod pull;
mod record;
mod replay_window;

pub use codec::Codec;
pub use digest::Digest;
pub use error::WireError;
pub use message::WireMessage;
pub use packet::Knowledge;
pub use packet::MAX_DATAGRAM_BYTES;
pub use packet::Packet;
pub use pull::Pull;
pub use pull::PullReply;
pub use record::WireMember;
pub use record::WireRecord;
pub use replay_window::ReplayWindow;
