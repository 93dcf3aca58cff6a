//! One datagram.

use rattanarch_types::BootId;
use rattanarch_types::Version;
use serde::Deserialize;
use serde::Serialize;

use crate::WireMessage;

/// Longest datagram in bytes: below the 1,472 that one Ethernet frame carries in UDP over IPv4.
pub const MAX_DATAGRAM: usize = 1_400;

/// What a member knows of the shared state, for gossip; in CBOR a list of numbers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(Version, Version, u32)", into = "(Version, Version, u32)")]
pub struct Knowledge {
    /// Version of its service's record.
    pub record: Version,
    /// Version of its firm's configuration.
    pub configuration: Version,
    /// Milliseconds since the platform confirmed, to it or to one it heard of, that these were
    /// current; saturates.
    pub age_ms: u32,
}

impl From<(Version, Version, u32)> for Knowledge {
    fn from((record, configuration, age_ms): (Version, Version, u32)) -> Self {
        Self { record, configuration, age_ms }
    }
}

impl From<Knowledge> for (Version, Version, u32) {
    fn from(knowledge: Knowledge) -> Self {
        (knowledge.record, knowledge.configuration, knowledge.age_ms)
    }
}

/// Lease messages from one member to another, with what the sender knows; in CBOR a list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "Fields", into = "Fields")]
pub struct Packet {
    /// Sender.
    pub from: BootId,
    /// Recipient; a packet for another is not taken, so that it can't be replayed elsewhere.
    pub to: BootId,
    /// Rises with each packet of the sender to the recipient.
    pub sequence: u64,
    /// What the sender knows.
    pub knowledge: Knowledge,
    /// Messages, in order.
    pub messages: Vec<WireMessage>,
}

type Fields = (BootId, BootId, u64, Knowledge, Vec<WireMessage>);

impl From<Fields> for Packet {
    fn from((from, to, sequence, knowledge, messages): Fields) -> Self {
        Self { from, to, sequence, knowledge, messages }
    }
}

impl From<Packet> for Fields {
    fn from(packet: Packet) -> Self {
        (packet.from, packet.to, packet.sequence, packet.knowledge, packet.messages)
    }
}
