//! Points in time for crates that read no clock.

use std::time::Duration;

/// Reading of a monotonic clock that also counts time in suspend, since an arbitrary origin of the process.
///
/// Readings of different processes cannot be compared.
pub type Moment = Duration;
