//! Summary of the shared state that a daemon has, for gossip.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rattanarch_types::Version;
use serde::Deserialize;
use serde::Serialize;

/// Versions that a daemon has, sent to randomly chosen peers; encoded in CBOR as a list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "Fields", into = "Fields")]
pub struct Digest {
    /// Address at which the sender serves its state.
    pub state_address: SocketAddr,
    /// Version of the configuration; 0 if none is known.
    pub configuration: Version,
    /// Revision of the set of evacuated data centres.
    pub evacuated: u64,
    /// Versions of ownership records, keyed by the hash of the service name.
    pub records: BTreeMap<u64, Version>,
    /// Whether the receiver has to act on a record change that the sender has just made.
    pub affects_receiver: bool,
    /// Milliseconds since a daemon that reaches the store confirmed that it holds no newer configuration or
    /// set of evacuated data centres; `None` if the sender knows of no confirmation.
    pub age_ms: Option<u32>,
    /// Whether the sender itself follows the store.
    pub follows: bool,
}

type Fields = (SocketAddr, Version, u64, BTreeMap<u64, Version>, bool, Option<u32>, bool);

impl From<Fields> for Digest {
    fn from(fields: Fields) -> Self {
        let (state_address, configuration, evacuated, records, affects_receiver, age_ms, follows) =
            fields;
        Self { state_address, configuration, evacuated, records, affects_receiver, age_ms, follows }
    }
}

impl From<Digest> for Fields {
    fn from(digest: Digest) -> Self {
        (
            digest.state_address,
            digest.configuration,
            digest.evacuated,
            digest.records,
            digest.affects_receiver,
            digest.age_ms,
            digest.follows,
        )
    }
}

impl Digest {
    /// Whether the receiver should fetch what is newer here than in `other` at once: operators' changes, and
    /// records that it has to act on.
    pub fn is_urgent(&self, other: &Self) -> bool {
        self.affects_receiver || self.has_newer_operator_state(other)
    }

    /// Whether the configuration or the set of evacuated data centres is newer here than in `other`.
    pub fn has_newer_operator_state(&self, other: &Self) -> bool {
        self.configuration > other.configuration || self.evacuated > other.evacuated
    }

    /// Whether this digest has anything newer than `other`.
    pub fn is_newer(&self, other: &Self) -> bool {
        self.has_newer_operator_state(other) || self.newer_records(other) > 0
    }

    /// Number of records that are newer here than in `other`.
    pub fn newer_records(&self, other: &Self) -> usize {
        let known = |service: &u64| other.records.get(service).copied().unwrap_or_default();
        self.records.iter().filter(|(service, version)| **version > known(service)).count()
    }
}
