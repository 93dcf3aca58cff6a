//! Limit of an upstream that starts cold.

use std::time::Duration;

use crate::AttemptOutcome;

/// Requests at once that an upstream of which nothing is known gets.
const START: f64 = 2.0;
/// Growth for each answer before the first fall.
const MAX_GROWTH: f64 = 1.0 / 16.0;
/// Least growth for each answer.
const MIN_GROWTH: f64 = 1.0 / 512.0;
/// Most growth for an answer out of what was earned before.
const MAX_SPEND: f64 = 0.5;
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
/// Answers that come while it is hardly used warm the upstream as well: they count once a higher
/// limit can be tried. Late answers mean a collapse only under load; otherwise they are the new
/// usual.
///
/// A fall before the upstream was warm halves the growth, so that a few falls find the pace at
/// which this upstream warms up.
///
/// ```
/// use std::time::Duration;
/// use rattanarch_admission::{ColdStart, AttemptOutcome};
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
    /// Growth for each answer.
    growth: f64,
    /// Growth of the answers that came while the limit was not in use; at most `slots`. They have
    /// warmed the upstream, and count as soon as a higher limit can be tried.
    earned: f64,
    /// Mean service time in seconds; 0 before the first answer.
    mean: f64,
    /// Failures and very late answers since the last good one.
    bad: u32,
}

impl ColdStart {
    /// For an upstream of `slots` (at least 1) that may be cold.
    pub fn new(slots: u16) -> Self {
        let slots = f64::from(slots.max(1));
        Self { limit: START.min(slots), slots, growth: MAX_GROWTH, earned: 0.0, mean: 0.0, bad: 0 }
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
    pub fn observe(&mut self, ending: AttemptOutcome, running: u32) {
        match ending {
            AttemptOutcome::Responded(time) if self.is_late(time) && self.is_loaded(running) => {
                self.lag();
            }
            AttemptOutcome::Responded(time) => self.grow(time, running),
            AttemptOutcome::Failed => self.fail(),
            AttemptOutcome::Cold => self.fall(),
            AttemptOutcome::Refused => {}
        }
    }

    fn is_late(&self, time: Duration) -> bool {
        self.mean > 0.0 && time.as_secs_f64() > self.mean * LATE_FACTOR
    }

    /// Whether load can have made the upstream collapse; otherwise its work has become slow.
    fn is_loaded(&self, running: u32) -> bool {
        self.is_raised() && self.is_used(running)
    }

    /// Whether more run at once than at the start.
    fn is_raised(&self) -> bool {
        self.limit >= START + 1.0
    }

    /// Whether at least half of the limit is in use. An upstream that is hardly used proves nothing
    /// about a higher limit.
    fn is_used(&self, running: u32) -> bool {
        f64::from(running) * 2.0 >= self.limit
    }

    fn grow(&mut self, time: Duration, running: u32) {
        let seconds = time.as_secs_f64();
        let weight = if self.mean == 0.0 { 1.0 } else { MEAN_WEIGHT };
        self.mean += (seconds - self.mean) * weight;
        self.bad = 0;
        if self.is_used(running) {
            let spent = self.earned.min(MAX_SPEND);
            self.earned -= spent;
            self.limit = (self.limit + self.growth + spent).min(self.slots);
        } else {
            self.earned = (self.earned + self.growth).min(self.slots);
        }
        if self.is_warm() {
            self.earned = 0.0;
        }
    }

    /// Notes a very late answer. Before the upstream was warm, and with growth left that it has
    /// earned, its work may just be slow: then the way back up is short.
    fn lag(&mut self) {
        let (earned, growth) = (self.earned, self.growth);
        self.fail();
        if earned > 0.0 {
            (self.earned, self.growth) = (earned, growth);
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
        if !self.is_warm() && self.is_raised() {
            self.growth = (self.growth * FALL_PART).max(MIN_GROWTH);
        }
        self.limit = START.min(self.slots);
        self.earned = 0.0;
        self.mean = 0.0;
        self.bad = 0;
    }
}
