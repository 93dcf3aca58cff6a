//! Response bodies and path encoding of the platform's HTTP API.

use std::fmt::Write;

use rattanarch_types::Version;
use serde::Deserialize;
use serde_json::Value;

use crate::Object;

/// Body of a response about one object.
#[derive(Deserialize)]
pub(crate) struct ObjectBody {
    pub(crate) version: Version,
    /// Value of the object; null if the response has none.
    #[serde(default)]
    value: Value,
}

impl From<ObjectBody> for Object {
    fn from(body: ObjectBody) -> Self {
        Self { version: body.version, value: body.value }
    }
}

/// Body of a response that lists paths.
#[derive(Deserialize)]
pub(crate) struct Listing {
    pub(crate) paths: Vec<String>,
}

/// Percent-encodes all bytes except unreserved characters and the slash.
pub(crate) fn encode_path(path: &str) -> String {
    let mut encoded = String::with_capacity(path.len());
    for byte in path.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            // Writing to a `String` can't fail.
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}
