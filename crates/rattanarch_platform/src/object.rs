//! What the platform stores and answers.

use rattanarch_types::Version;
use serde::Deserialize;
use serde::Serialize;

/// A stored object as of one read.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Object {
    /// 0 when nothing is stored.
    pub version: Version,
    /// The value; null when nothing is stored.
    #[serde(default)]
    pub value: serde_json::Value,
}

/// How the platform answered a conditional update.
#[derive(Clone, Debug, PartialEq)]
pub enum PutOutcome {
    /// Stored, at this version.
    Accepted(Version),
    /// Not stored: the version was not the expected one. What stands now.
    Conflict(Object),
}
