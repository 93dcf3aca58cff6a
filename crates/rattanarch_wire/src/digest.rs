//! Which versions of the shared state a daemon knows.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rattanarch_types::Version;
use serde::Deserialize;
use serde::Serialize;

/// Versions that a daemon knows, told to peers drawn at random; in CBOR a list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "Fields", into = "Fields")]
pub struct Digest {
    /// Where the sender answers what it knows.
    pub state: SocketAddr,
    /// Version of the configuration; 0 if none is known.
    pub configuration: Version,
    /// Revision of the data centres that are out.
    pub evacuated: u64,
    /// Versions of ownership records, by the hash of the service's name.
    pub records: BTreeMap<u64, Version>,
    /// Whether the receiver has to act on a change of a record that the sender has just made.
    pub concerns: bool,
    /// How long ago a daemon that reaches the store confirmed that nothing newer of the configuration and of
    /// the data centres that are out is stored, in milliseconds; `None` if the sender knows of no such time.
    pub confirmed: Option<u32>,
    /// Whether the sender follows the store itself.
    pub follows: bool,
}

type Fields = (SocketAddr, Version, u64, BTreeMap<u64, Version>, bool, Option<u32>, bool);

impl From<Fields> for Digest {
    fn from(fields: Fields) -> Self {
        let (state, configuration, evacuated, records, concerns, confirmed, follows) = fields;
        Self { state, configuration, evacuated, records, concerns, confirmed, follows }
    }
}

impl From<Digest> for Fields {
    fn from(digest: Digest) -> Self {
        (
            digest.state,
            digest.configuration,
            digest.evacuated,
            digest.records,
            digest.concerns,
            digest.confirmed,
            digest.follows,
        )
    }
}

impl Digest {
    /// Whether what is newer here than in `other` is to be fetched at once: what operators want, and records
    /// that the receiver has to act on.
    pub fn is_urgent(&self, other: &Self) -> bool {
        self.concerns || self.wants_more(other)
    }

    /// Whether what operators want is newer here than in `other`.
    pub fn wants_more(&self, other: &Self) -> bool {
        self.configuration > other.configuration || self.evacuated > other.evacuated
    }

    /// Whether this one has anything newer than `other`.
    pub fn is_newer(&self, other: &Self) -> bool {
        self.wants_more(other) || self.newer_records(other) > 0
    }

    /// Number of records that are newer here than in `other`.
    pub fn newer_records(&self, other: &Self) -> usize {
        let known = |service: &u64| other.records.get(service).copied().unwrap_or_default();
        self.records.iter().filter(|(service, version)| **version > known(service)).count()
    }
}
