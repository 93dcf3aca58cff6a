//! Clocks: time since boot, and wall-clock time.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rattanarch_types::Moment;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Reads `CLOCK_BOOTTIME`, which includes the time in which the machine was suspended: a lease must expire also
/// during a suspension that its holder did not notice.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock;

impl Clock {
    /// Time since the machine booted.
    pub fn now(self) -> Moment {
        let time = clock_gettime(ClockId::Boottime);
        Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
    }
}

/// Wall-clock time in milliseconds since the Unix epoch; 0 if the clock is set to an earlier time.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
