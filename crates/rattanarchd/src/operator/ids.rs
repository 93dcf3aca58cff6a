//! Times and ids for audit entries.

use std::hash::BuildHasher;
use std::hash::RandomState;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rattanarch_types::WriteId;

/// Wall clock, in ms since the Unix epoch; 0 if it stands before that.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

/// Draws a write id, unique over all processes. Never zero.
pub fn draw_write_id() -> WriteId {
    // Every `RandomState` has fresh keys from the operating system's randomness.
    let drawn = RandomState::new().hash_one(unix_ms());
    drawn.max(1)
}
