//! Bodies and paths as the platform reads and writes them.

use std::fmt::Write;

use rattanarch_types::Version;
use serde::Deserialize;
use serde_json::Value;

use crate::Object;

/// Body of an answer about one object.
#[derive(Deserialize)]
pub(crate) struct Stored {
    pub(crate) version: Version,
    #[serde(default)]
    value: Value,
}

impl From<Stored> for Object {
    fn from(stored: Stored) -> Self {
        Self { version: stored.version, value: stored.value }
    }
}

/// Body of an answer that lists paths.
#[derive(Deserialize)]
pub(crate) struct Listing {
    pub(crate) paths: Vec<String>,
}

/// Percent-encodes all but the unreserved characters and the slash.
pub(crate) fn encode_path(path: &str) -> String {
    let mut encoded = String::with_capacity(path.len());
    for byte in path.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            // Writing to a string does not fail.
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}
