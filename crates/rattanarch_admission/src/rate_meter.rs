//! Rate of events.

use std::time::Duration;

use rattanarch_types::Moment;

/// Interval over which events are counted: some ten requests on a busy day.
const INTERVAL: Duration = Duration::from_millis(250);

/// Longest time between two calls that counts, if pauses are left out: the daemon calls [`RateMeter::tick`] every 200 ms, so
/// that a longer one shows that its process did not run, and could not count.
const MAX_GAP: Duration = Duration::from_millis(500);

/// EWMA weight of the newest interval in the rate: a burst shows within a second.
const WEIGHT: f64 = 0.35;

/// Rate at which events happen, averaged over some 700 ms.
#[derive(Clone, Debug, Default)]
pub(crate) struct RateMeter {
    /// Events a second.
    rate: f64,
    /// Events of the current interval.
    count: u32,
    /// Length of the current interval so far.
    elapsed: Duration,
    /// Last call.
    seen: Moment,
    /// Whether pauses of the process are left out.
    skips_pauses: bool,
}

impl RateMeter {
    /// Sets whether time in which the process did not run is left out. [`RateMeter::tick`] has to be called every 200 ms then.
    pub(crate) fn skip_pauses(&mut self, skips: bool) {
        self.skips_pauses = skips;
    }

    /// Records that the process runs at `now`.
    pub(crate) fn tick(&mut self, now: Moment) {
        let gap = now.saturating_sub(self.seen);
        if !self.skips_pauses || gap <= MAX_GAP {
            self.elapsed += gap;
        }
        self.seen = self.seen.max(now);
    }

    /// Counts an event.
    pub(crate) fn count(&mut self, now: Moment) {
        self.tick(now);
        if self.elapsed >= INTERVAL {
            let newest = f64::from(self.count) / self.elapsed.as_secs_f64();
            self.rate += (newest - self.rate) * WEIGHT;
            self.count = 0;
            self.elapsed = Duration::ZERO;
        }
        self.count += 1;
    }

    /// Events a second.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }
}
