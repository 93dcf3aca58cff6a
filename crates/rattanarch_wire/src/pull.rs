//! Exchanges over a WebSocket connection.

use rattanarch_types::BootId;
use rattanarch_types::Configuration;
use rattanarch_types::Version;
use serde::Deserialize;
use serde::Serialize;

use crate::Knowledge;
use crate::WireRecord;

/// Asks a member for what it holds above the given versions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pull {
    /// Member that asks.
    pub from: BootId,
    /// Member that is asked.
    pub to: BootId,
    /// Unique to the exchange; echoed, so that an old answer is not taken for a new one.
    pub nonce: u64,
    /// Record version that the asking member holds.
    pub record: Version,
    /// Configuration version that the asking member holds.
    pub configuration: Version,
}

/// Answer to a [`Pull`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PullReply {
    /// Copied from the request.
    pub nonce: u64,
    /// The record, if newer than asked for.
    pub record: Option<WireRecord>,
    /// The configuration, if newer than asked for.
    pub configuration: Option<Configuration>,
    /// What the answering member holds, also when nothing is newer.
    pub knowledge: Knowledge,
}
