//! Random ids of configuration writes.

use rattanarch_types::WriteId;

use crate::process::random;

/// Returns a random write id, unique among all processes and never zero.
pub fn random_write_id() -> WriteId {
    random()
}
