//! The machine's clock.

use std::time::Duration;

use rattanarchd::process::Clock;

/// Time since the machine's start, in microseconds; the same for every process of the machine, so
/// that journals of several upstreams can be put in one order.
pub(crate) fn machine_us() -> u64 {
    micros(Clock.now())
}

/// A duration in whole microseconds; `u64::MAX` when it is longer than that holds.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
