//! Request for newer state over a WebSocket connection, and its reply.
//!
//! The field names are keys of the CBOR maps, so renaming one changes the wire format.

use rattanarch_types::BootId;
use rattanarch_types::Configuration;
use rattanarch_types::Version;
use serde::Deserialize;
use serde::Serialize;

use crate::Knowledge;
use crate::WireRecord;

/// Asks a member for the record and configuration if it has newer versions than the given ones.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pull {
    /// Member that sends the request.
    pub from: BootId,
    /// Member that receives the request.
    pub to: BootId,
    /// Unique to the exchange; copied into the reply, so that an old reply is not accepted for a new request.
    pub nonce: u64,
    /// Record version that the sender has.
    pub record: Version,
    /// Configuration version that the sender has.
    pub configuration: Version,
}

/// Reply to a [`Pull`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PullReply {
    /// Copied from the request.
    pub nonce: u64,
    /// The record, if newer than the version in the request.
    pub record: Option<WireRecord>,
    /// The configuration, if newer than the version in the request.
    pub configuration: Option<Configuration>,
    /// Versions that the replying member has, also if none is newer.
    pub knowledge: Knowledge,
}
