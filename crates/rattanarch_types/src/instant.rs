//! Time as the pure crates see it.

use std::time::Duration;

/// Reading of a clock that counts suspended time, since an arbitrary origin in the same process.
///
/// Readings of different processes are never compared.
pub type Moment = Duration;
