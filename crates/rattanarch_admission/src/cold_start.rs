//! Concurrency limit for an upstream that starts cold.

use std::time::Duration;

use crate::AttemptOutcome;

/// Concurrent requests to an upstream of which nothing is known.
const INITIAL_LIMIT: f64 = 2.0;
/// Growth of the limit per response before the first reset.
const MAX_GROWTH: f64 = 1.0 / 16.0;
/// Lower bound of the growth per response.
const MIN_GROWTH: f64 = 1.0 / 512.0;
/// Upper bound of the deferred growth that one response applies.
const MAX_DEFERRED_STEP: f64 = 0.5;
/// Factor on the growth after a reset before the upstream was warm.
const RESET_GROWTH_RATIO: f64 = 0.5;
/// Failures or very late responses in a row that count as a collapse.
const COLLAPSE_COUNT: u32 = 3;
/// A response is very late beyond this multiple of the mean service time.
const LATE_FACTOR: f64 = 8.0;
/// EWMA weight of a new service time in the mean.
const MEAN_WEIGHT: f64 = 0.1;

/// Concurrency limit for an upstream that may be cold. It starts small and grows with each response while
/// the limit is in use. It is reset when the upstream refuses a request as cold, or when it collapses
/// without saying so.
///
/// Responses that arrive while the limit is hardly used warm the upstream as well. Their growth is
/// deferred and applied once the limit is in use. Late responses count as a collapse only under load;
/// otherwise they become the new mean.
///
/// A reset before the upstream was warm halves the growth, so that after a few resets the growth
/// matches how fast this upstream warms up.
///
/// ```
/// use std::time::Duration;
/// use rattanarch_admission::{AttemptOutcome, ColdStart};
///
/// let mut cold = ColdStart::new(20);
/// assert_eq!(cold.limit(), 2);
/// for _ in 0..288 {
///     let running = cold.limit();
///     cold.observe(AttemptOutcome::Responded(Duration::from_millis(5)), running);
/// }
/// assert!(cold.is_warm());
/// cold.observe(AttemptOutcome::Cold, 20);
/// assert_eq!(cold.limit(), 2);
/// ```
#[derive(Clone, Debug)]
pub struct ColdStart {
    /// At least 1, at most `slots`.
    limit: f64,
    slots: f64,
    /// Growth of the limit per response.
    growth: f64,
    /// Growth from responses that arrived while the limit was not in use; at most `slots`. They have
    /// warmed the upstream, and their growth is applied once the limit is in use.
    deferred: f64,
    /// Mean service time in seconds; 0 before the first response.
    mean: f64,
    /// Failures and very late responses since the last timely one.
    consecutive_bad: u32,
}

impl ColdStart {
    /// A limit for an upstream of `slots` (at least 1) that may be cold.
    pub fn new(slots: u16) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            limit: INITIAL_LIMIT.min(slots),
            slots,
            growth: MAX_GROWTH,
            deferred: 0.0,
            mean: 0.0,
            consecutive_bad: 0,
        }
    }

    /// Requests that may run at once; between 1 and the upstream's slots.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Whether the limit has reached the upstream's slots.
    pub fn is_warm(&self) -> bool {
        self.limit >= self.slots
    }

    /// Updates the limit with the outcome of an attempt. `running` counts the running requests just before it
    /// ended, itself included. A refusal because all slots are taken says nothing about whether the upstream is cold.
    pub fn observe(&mut self, outcome: AttemptOutcome, running: u32) {
        match outcome {
            AttemptOutcome::Responded(time) if self.is_late(time) && self.is_loaded(running) => {
                self.late_response();
            }
            AttemptOutcome::Responded(time) => self.grow(time, running),
            AttemptOutcome::Failed => self.fail(),
            AttemptOutcome::Cold => self.reset(),
            AttemptOutcome::Refused => {}
        }
    }

    fn is_late(&self, time: Duration) -> bool {
        self.mean > 0.0 && time.as_secs_f64() > self.mean * LATE_FACTOR
    }

    /// Whether load can have made the upstream collapse; otherwise its requests have become slower.
    fn is_loaded(&self, running: u32) -> bool {
        self.has_grown() && self.is_used(running)
    }

    /// Whether the limit has grown since the start or the last reset.
    fn has_grown(&self) -> bool {
        self.limit >= INITIAL_LIMIT + 1.0
    }

    /// Whether at least half of the limit is in use. Otherwise a response is no evidence that the upstream
    /// can take a higher limit.
    fn is_used(&self, running: u32) -> bool {
        f64::from(running) * 2.0 >= self.limit
    }

    fn grow(&mut self, time: Duration, running: u32) {
        let seconds = time.as_secs_f64();
        let weight = if self.mean == 0.0 { 1.0 } else { MEAN_WEIGHT };
        self.mean += (seconds - self.mean) * weight;
        self.consecutive_bad = 0;
        if self.is_used(running) {
            let step = self.deferred.min(MAX_DEFERRED_STEP);
            self.deferred -= step;
            self.limit = (self.limit + self.growth + step).min(self.slots);
        } else {
            self.deferred = (self.deferred + self.growth).min(self.slots);
        }
        if self.is_warm() {
            self.deferred = 0.0;
        }
    }

    /// Counts a very late response. If growth is still deferred, the requests may just be slow: then the deferred
    /// growth and the growth per response survive a reset, so that the limit recovers quickly.
    fn late_response(&mut self) {
        let (deferred, growth) = (self.deferred, self.growth);
        self.fail();
        if deferred > 0.0 {
            (self.deferred, self.growth) = (deferred, growth);
        }
    }

    fn fail(&mut self) {
        self.consecutive_bad += 1;
        if self.consecutive_bad >= COLLAPSE_COUNT {
            self.reset();
        }
    }

    /// Goes back to the initial state, the mean included, since a cold upstream is slower.
    fn reset(&mut self) {
        if !self.is_warm() && self.has_grown() {
            self.growth = (self.growth * RESET_GROWTH_RATIO).max(MIN_GROWTH);
        }
        self.limit = INITIAL_LIMIT.min(self.slots);
        self.deferred = 0.0;
        self.mean = 0.0;
        self.consecutive_bad = 0;
    }
}
