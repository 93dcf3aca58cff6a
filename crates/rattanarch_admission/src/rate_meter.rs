//! Rate of events.

use std::time::Duration;

use rattanarch_types::Moment;

/// Interval over which events are counted: some ten requests on a busy day.
const INTERVAL: Duration = Duration::from_millis(250);

/// EWMA weight of the newest interval in the rate: a burst shows within a second.
const WEIGHT: f64 = 0.35;

/// Rate at which events happen, averaged over some 700 ms.
#[derive(Clone, Debug, Default)]
pub(crate) struct RateMeter {
    /// Events a second.
    rate: f64,
    /// Events of the current interval.
    count: u32,
    /// Start of the current interval.
    since: Moment,
}

impl RateMeter {
    /// Counts an event.
    pub(crate) fn count(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.since);
        if elapsed >= INTERVAL {
            let newest = f64::from(self.count) / elapsed.as_secs_f64();
            self.rate += (newest - self.rate) * WEIGHT;
            self.count = 0;
            self.since = now;
        }
        self.count += 1;
    }

    /// Events a second.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }
}
