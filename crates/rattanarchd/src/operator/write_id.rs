//! Ids for audit entries.

use rattanarch_types::WriteId;

use crate::process::random;

/// Draws a write id, unique over all processes. Never zero.
pub fn random_write_id() -> WriteId {
    random()
}
