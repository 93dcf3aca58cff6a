//! Requests and responses by which daemons exchange the shared state.

use std::collections::BTreeMap;

use rattanarch_dissemination::ConfigurationChange;
use rattanarch_dissemination::VersionHash;
use rattanarch_types::BootId;
use rattanarch_types::RecordChange;
use rattanarch_types::ServiceName;
use rattanarch_types::StorePosition;
use rattanarch_types::Version;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::version::Evacuated;

/// Versions of the shared state that a daemon has; the body of a state fetch.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Versions {
    /// Version of the configuration; 0 if none is known.
    pub(crate) configuration: Version,
    /// Hash of its text, as the base of changes; 0 to request the full configuration.
    #[serde(default)]
    pub(crate) hash: u64,
    /// Where the store was in its history at the newest known change of the set of evacuated data centres.
    pub(crate) evacuated: StorePosition,
    /// Versions of the ownership records.
    pub(crate) records: BTreeMap<ServiceName, Version>,
}

impl Versions {
    /// Version and hash of the configuration, as the base of changes.
    pub(crate) fn base(&self) -> VersionHash {
        VersionHash { version: self.configuration, hash: self.hash }
    }
}

/// Parts of the shared state that are newer than the versions in a peer's request.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct Snapshot {
    /// Full configuration as the store holds it; `None` if it is not newer, is sent as changes, or is deferred.
    pub(crate) configuration: Option<Value>,
    /// Changes from the peer's version of the configuration to this one, in order, if they are smaller than the full
    /// configuration.
    #[serde(default)]
    pub(crate) configuration_changes: Vec<ConfigurationChange>,
    /// Whether the configuration is deferred, because the sender's link is busy with other such responses.
    #[serde(default)]
    pub(crate) put_off: bool,
    /// Evacuated data centres, if they are newer.
    pub(crate) evacuated: Option<Evacuated>,
    /// Records as the store holds them, with where it was in its history when each was written.
    pub(crate) records: Vec<(StorePosition, Value)>,
    /// Changes, in order, from the peer's version of a record to this one, with the position of the result.
    pub(crate) changes: Vec<(StorePosition, Vec<RecordChange>)>,
    /// Boot id under which the sender takes part in ownership; 0 if it does not, or does not tell.
    #[serde(default)]
    pub(crate) boot: BootId,
}
