//! What daemons tell each other of the shared state.

use std::collections::BTreeMap;

use rattanarch_dissemination::ConfigurationChange;
use rattanarch_dissemination::VersionHash;
use rattanarch_types::RecordChange;
use rattanarch_types::ServiceName;
use rattanarch_types::Version;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::version::Evacuated;

/// Versions that a daemon knows.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Versions {
    /// Version of the configuration; 0 if none is known.
    pub(crate) configuration: Version,
    /// Hash of its text, from which changes are told; 0 for the whole.
    #[serde(default)]
    pub(crate) hash: u64,
    /// Revision of the data centres that are out.
    pub(crate) evacuated: u64,
    /// Versions of the ownership records.
    pub(crate) records: BTreeMap<ServiceName, Version>,
}

impl Versions {
    /// The configuration that the daemon knows.
    pub(crate) fn base(&self) -> VersionHash {
        VersionHash { version: self.configuration, hash: self.hash }
    }
}

/// Parts of the shared state that are newer than what a peer asked with.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct Snapshot {
    /// The configuration as the store holds it.
    pub(crate) configuration: Option<Value>,
    /// Changes that make it of the version that the peer knows, in order, if they are smaller.
    #[serde(default)]
    pub(crate) configuration_changes: Vec<ConfigurationChange>,
    /// Whether the configuration is left out: the peer sends as many already as its link bears.
    #[serde(default)]
    pub(crate) put_off: bool,
    /// Data centres that are out.
    pub(crate) evacuated: Option<Evacuated>,
    /// Records as the store holds them, with their revisions there.
    pub(crate) records: Vec<(u64, Value)>,
    /// Changes that make a record current of which the peer knows an earlier version, in order, and the store's
    /// revision of it then.
    pub(crate) changes: Vec<(u64, Vec<RecordChange>)>,
}
