//! Clock of the machine.

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Microseconds in a second.
const US_PER_SECOND: u64 = 1_000_000;

/// Nanoseconds in a microsecond.
const NS_PER_US: u64 = 1_000;

/// Time since the machine booted, including suspended time, in microseconds. All processes of the
/// machine share this clock, so that the journals of several upstreams can be ordered.
pub(crate) fn machine_us() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * US_PER_SECOND + time.tv_nsec as u64 / NS_PER_US
}
