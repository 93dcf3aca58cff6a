//! Call counts of the platform.

use serde::Deserialize;
use serde::Serialize;

/// Counts since the start. Control calls are excluded from the calls and included in the bytes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlatformCounts {
    /// Reads and listings.
    pub reads: u64,
    /// Conditional updates, including refused ones.
    pub writes: u64,
    /// Watch calls.
    pub watches: u64,
    /// Conditional updates refused because of a version mismatch.
    pub conflicts: u64,
    /// Bytes read, including HTTP heads.
    pub bytes_in: u64,
    /// Bytes written, including HTTP heads.
    pub bytes_out: u64,
}
