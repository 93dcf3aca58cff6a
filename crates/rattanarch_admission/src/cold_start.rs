//! Limit of an upstream that starts cold.

use std::time::Duration;

use crate::Ending;

/// Requests at once that an upstream of which nothing is known gets.
const START: f64 = 2.0;
/// Growth for each answer before the first fall.
const MAX_GROWTH: f64 = 1.0 / 16.0;
/// Least growth for each answer.
const MIN_GROWTH: f64 = 1.0 / 512.0;
/// Part of the growth that is left after a fall while it grew.
const FALL_PART: f64 = 0.5;
/// Failures or very late answers in a row that mean a collapse.
const COLLAPSE_RUN: u32 = 3;
/// An answer is very late beyond this multiple of the mean.
const LATE_FACTOR: f64 = 8.0;
/// Weight of a new service time in the mean.
const MEAN_WEIGHT: f64 = 0.1;

/// Limit for an upstream that may be cold: small at first, it grows with each answer while it is
/// in use, and falls back at once when the upstream refuses as cold, or collapses without a word.
/// Late answers mean a collapse only while the limit is in use; otherwise they are the new usual.
///
/// A fall before the upstream was warm halves the growth, so that a few falls find the pace at
/// which this upstream warms up.
///
/// ```
/// use std::time::Duration;
/// use rattanarch_admission::{ColdStart, Ending};
///
/// let mut cold = ColdStart::new(20);
/// assert_eq!(cold.limit(), 2);
/// for _ in 0..288 {
///     let running = cold.limit();
///     cold.note(Ending::Answered(Duration::from_millis(5)), running);
/// }
/// assert!(cold.is_warm());
/// cold.note(Ending::Cold, 20);
/// assert_eq!(cold.limit(), 2);
/// ```
#[derive(Clone, Debug)]
pub struct ColdStart {
    /// At least 1, at most `slots`.
    limit: f64,
    slots: f64,
    /// Growth for each answer.
    growth: f64,
    /// Mean service time in seconds; 0 before the first answer.
    mean: f64,
    /// Failures and very late answers since the last good one.
    bad: u32,
}

impl ColdStart {
    /// For an upstream of `slots` (at least 1) that may be cold.
    pub fn new(slots: u16) -> Self {
        let slots = f64::from(slots.max(1));
        Self { limit: START.min(slots), slots, growth: MAX_GROWTH, mean: 0.0, bad: 0 }
    }

    /// Requests that may run at once; 1 to the upstream's slots.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Whether the limit has reached the upstream's slots.
    pub fn is_warm(&self) -> bool {
        self.limit >= self.slots
    }

    /// Learns from a request's end; `running` counts the requests under way just before it, itself
    /// included. A refusal for want of room says nothing about warmth.
    pub fn note(&mut self, ending: Ending, running: u32) {
        match ending {
            Ending::Answered(time) if self.is_late(time) && self.is_used(running) => self.fail(),
            Ending::Answered(time) => self.grow(time, running),
            Ending::Failed => self.fail(),
            Ending::Cold => self.fall(),
            Ending::Refused => {}
        }
    }

    fn is_late(&self, time: Duration) -> bool {
        self.mean > 0.0 && time.as_secs_f64() > self.mean * LATE_FACTOR
    }

    /// Whether at least half of the limit is in use. An upstream that is hardly used proves nothing
    /// about a higher limit, and no load has made it collapse: its work has become slow.
    fn is_used(&self, running: u32) -> bool {
        f64::from(running) * 2.0 >= self.limit
    }

    fn grow(&mut self, time: Duration, running: u32) {
        let seconds = time.as_secs_f64();
        let weight = if self.mean == 0.0 { 1.0 } else { MEAN_WEIGHT };
        self.mean += (seconds - self.mean) * weight;
        self.bad = 0;
        if self.is_used(running) {
            self.limit = (self.limit + self.growth).min(self.slots);
        }
    }

    fn fail(&mut self) {
        self.bad += 1;
        if self.bad >= COLLAPSE_RUN {
            self.fall();
        }
    }

    /// Starts anew, the mean included: a cold upstream is slower.
    fn fall(&mut self) {
        if !self.is_warm() && self.limit > START {
            self.growth = (self.growth * FALL_PART).max(MIN_GROWTH);
        }
        self.limit = START.min(self.slots);
        self.mean = 0.0;
        self.bad = 0;
    }
}
