//! Stored objects and outcomes of updates.

use rattanarch_types::Version;
use serde::Deserialize;
use serde::Serialize;

/// A stored object as it was read.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Object {
    /// Version; 0 if nothing is stored.
    pub version: Version,
    /// Value; null if nothing is stored.
    #[serde(default)]
    pub value: serde_json::Value,
}

/// Outcome of a conditional update.
#[derive(Clone, Debug, PartialEq)]
pub enum PutOutcome {
    /// The value was stored with this version.
    Accepted(Version),
    /// The value was not stored, because the version was not the expected one; holds the current object.
    Conflict(Object),
}
