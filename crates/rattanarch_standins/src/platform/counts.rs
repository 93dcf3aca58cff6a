//! Calls that the platform has taken.

use serde::Deserialize;
use serde::Serialize;

/// Counts since the start; control calls are left out of the calls and included in the bytes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlatformCounts {
    /// Reads and listings.
    pub reads: u64,
    /// Conditional updates, refused ones included.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Conditional updates refused for their version.
    pub conflicts: u64,
    /// Bytes read, HTTP heads included.
    pub bytes_in: u64,
    /// Bytes written, HTTP heads included.
    pub bytes_out: u64,
}
