//! Datagrams that carry lease messages and gossip.

use rattanarch_types::BootId;
use rattanarch_types::Version;
use serde::Deserialize;
use serde::Serialize;

use crate::WireMessage;

/// Longest datagram in bytes; below the 1,472 that fit one Ethernet frame in UDP over IPv4, so that it is not
/// fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Versions of the shared state that a member has, for gossip; encoded in CBOR as a list of numbers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "KnowledgeFields", into = "KnowledgeFields")]
pub struct Knowledge {
    /// Version of the record of its service.
    pub record: Version,
    /// Version of the configuration of its firm.
    pub configuration: Version,
    /// Hash of the part of that configuration that applies to the members of its service. A member with the
    /// same hash needs no copy.
    pub digest: u64,
    /// Milliseconds since the platform confirmed these versions as current, to this member or to one that it
    /// heard from; saturates.
    pub age_ms: u32,
}

type KnowledgeFields = (Version, Version, u64, u32);

impl From<KnowledgeFields> for Knowledge {
    fn from((record, configuration, digest, age_ms): KnowledgeFields) -> Self {
        Self { record, configuration, digest, age_ms }
    }
}

impl From<Knowledge> for KnowledgeFields {
    fn from(knowledge: Knowledge) -> Self {
        (knowledge.record, knowledge.configuration, knowledge.digest, knowledge.age_ms)
    }
}

/// Lease messages from one member to another, with the sender's [`Knowledge`]; encoded in CBOR as a list.
///
/// The recipient is not a field: [`Codec::encode_for`](crate::Codec::encode_for) binds the frame to it, so
/// that the frame can't be replayed to another member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "PacketFields", into = "PacketFields")]
pub struct Packet {
    /// Boot id of the sender.
    pub from: BootId,
    /// Increases with each packet from the sender to the recipient.
    pub sequence: u64,
    /// Versions that the sender has.
    pub knowledge: Knowledge,
    /// Messages in the order in which they were sent.
    pub messages: Vec<WireMessage>,
}

type PacketFields = (BootId, u64, Knowledge, Vec<WireMessage>);

impl From<PacketFields> for Packet {
    fn from((from, sequence, knowledge, messages): PacketFields) -> Self {
        Self { from, sequence, knowledge, messages }
    }
}

impl From<Packet> for PacketFields {
    fn from(packet: Packet) -> Self {
        (packet.from, packet.sequence, packet.knowledge, packet.messages)
    }
}
