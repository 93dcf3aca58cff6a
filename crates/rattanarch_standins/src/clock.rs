//! The machine's clock.

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Microseconds in a second.
const SECOND_US: u64 = 1_000_000;

/// Nanoseconds in a microsecond.
const MICRO_NS: u64 = 1_000;

/// Time since the machine's start, suspended time included, in microseconds; the same for every
/// process of the machine, so that journals of several upstreams can be put in one order.
pub(crate) fn machine_us() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * SECOND_US + time.tv_nsec as u64 / MICRO_NS
}
