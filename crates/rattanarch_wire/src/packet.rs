//! One datagram.

use rattanarch_types::BootId;
use rattanarch_types::Version;
use serde::Deserialize;
use serde::Serialize;

use crate::WireMessage;

/// Longest datagram in bytes: below the 1,472 that one Ethernet frame carries in UDP over IPv4.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// What a member knows of the shared state, for gossip; in CBOR a list of numbers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "Parts", into = "Parts")]
pub struct Knowledge {
    /// Version of its service's record.
    pub record: Version,
    /// Version of its firm's configuration.
    pub configuration: Version,
    /// Hash of the part of that configuration that the members of its service act on: a member
    /// with the same hash needs no copy.
    pub digest: u64,
    /// Milliseconds since the platform confirmed, to it or to one it heard of, that these were
    /// current; saturates.
    pub age_ms: u32,
}

type Parts = (Version, Version, u64, u32);

impl From<Parts> for Knowledge {
    fn from((record, configuration, digest, age_ms): Parts) -> Self {
        Self { record, configuration, digest, age_ms }
    }
}

impl From<Knowledge> for Parts {
    fn from(knowledge: Knowledge) -> Self {
        (knowledge.record, knowledge.configuration, knowledge.digest, knowledge.age_ms)
    }
}

/// Lease messages from one member to another, with what the sender knows; in CBOR a list.
///
/// The recipient is no field: [`Codec::encode_for`](crate::Codec::encode_for) binds the frame to it, so
/// that it can't be replayed elsewhere.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "Fields", into = "Fields")]
pub struct Packet {
    /// Sender.
    pub from: BootId,
    /// Rises with each packet of the sender to the recipient.
    pub sequence: u64,
    /// What the sender knows.
    pub knowledge: Knowledge,
    /// Messages, in order.
    pub messages: Vec<WireMessage>,
}

type Fields = (BootId, u64, Knowledge, Vec<WireMessage>);

impl From<Fields> for Packet {
    fn from((from, sequence, knowledge, messages): Fields) -> Self {
        Self { from, sequence, knowledge, messages }
    }
}

impl From<Packet> for Fields {
    fn from(packet: Packet) -> Self {
        (packet.from, packet.sequence, packet.knowledge, packet.messages)
    }
}
