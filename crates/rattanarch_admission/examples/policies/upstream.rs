//! Model of an upstream with slots, a queue of its own, and faults.

use std::collections::VecDeque;
use std::time::Duration;

use crate::random::RandomSource;

/// Requests that a warm upstream runs at once.
pub(crate) const SLOTS: u16 = 20;
/// Responses after which a cold upstream is warm.
const WARM_UP_RESPONSES: f64 = 2_000.0;
/// Concurrent requests that a fully cold upstream can run.
const COLD_CAPACITY: f64 = 3.0;
/// A cold upstream collapses beyond this multiple of its capacity.
const COLLAPSE_FACTOR: f64 = 1.5;
/// Time for which an upstream does no work after a collapse.
const STALL: Duration = Duration::from_millis(500);

/// An upstream that runs attempts, which are identified by number.
pub(crate) struct Upstream {
    pub(crate) running: usize,
    waiting: VecDeque<usize>,
    /// Between 0 (fully cold) and 1 (warm).
    warmth: f64,
    /// End of the stall after the last collapse.
    stalled_until: Duration,
    pub(crate) collapses: usize,
}

impl Upstream {
    pub(crate) fn new(warm: bool) -> Self {
        let warmth = if warm { 1.0 } else { 0.0 };
        Self {
            running: 0,
            waiting: VecDeque::new(),
            warmth,
            stalled_until: Duration::ZERO,
            collapses: 0,
        }
    }

    /// Makes the upstream fully cold.
    pub(crate) fn make_cold(&mut self) {
        self.warmth = 0.0;
    }

    /// Accepts an attempt. Returns its service time if it starts now.
    pub(crate) fn accept(
        &mut self,
        now: Duration,
        attempt: usize,
        random: &mut RandomSource,
    ) -> Option<Duration> {
        self.check_collapse(now);
        if self.running >= usize::from(SLOTS) {
            self.waiting.push_back(attempt);
            return None;
        }
        Some(self.start(now, random))
    }

    /// Ends an attempt. Returns the attempt that takes its slot, with its service time.
    pub(crate) fn end(
        &mut self,
        now: Duration,
        random: &mut RandomSource,
    ) -> Option<(usize, Duration)> {
        self.running -= 1;
        if now >= self.stalled_until {
            self.warmth = (self.warmth + 1.0 / WARM_UP_RESPONSES).min(1.0);
        }
        let next = self.waiting.pop_front()?;
        Some((next, self.start(now, random)))
    }

    fn start(&mut self, now: Duration, random: &mut RandomSource) -> Duration {
        self.running += 1;
        random.service_time() + self.stalled_until.saturating_sub(now)
    }

    /// Collapses if the upstream is cold and one more request exceeds its capacity.
    fn check_collapse(&mut self, now: Duration) {
        if self.warmth >= 1.0 || now < self.stalled_until {
            return;
        }
        let capacity = COLD_CAPACITY + (f64::from(SLOTS) - COLD_CAPACITY) * self.warmth;
        if (self.running + 1) as f64 > capacity * COLLAPSE_FACTOR {
            self.warmth = 0.0;
            self.stalled_until = now + STALL;
            self.collapses += 1;
        }
    }
}
