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
}

type Fields = (SocketAddr, Version, u64, BTreeMap<u64, Version>);

impl From<Fields> for Digest {
    fn from((state, configuration, evacuated, records): Fields) -> Self {
        Self { state, configuration, evacuated, records }
    }
}

impl From<Digest> for Fields {
    fn from(digest: Digest) -> Self {
        (digest.state, digest.configuration, digest.evacuated, digest.records)
    }
}

impl Digest {
    /// Whether this one has anything newer than `other`.
    pub fn is_newer(&self, other: &Self) -> bool {
        let known = |service: &u64| other.records.get(service).copied().unwrap_or_default();
        self.configuration > other.configuration
            || self.evacuated > other.evacuated
            || self.records.iter().any(|(service, version)| *version > known(service))
    }
}
