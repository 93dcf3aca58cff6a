//! How many requests an upstream bears at once, as learnt from its answers.

use std::time::Duration;

/// Limit of an upstream of which nothing is known yet, and after it refused work.
const COLD_LIMIT: f64 = 2.0;
/// Answers, in multiples of the limit, that raise it by one.
const GROWTH_ROUNDS: f64 = 4.0;
/// Part of the limit that is left after a refusal.
const REFUSED_PART: f64 = 0.5;
/// Part of the limit that is left after a timeout or a cut connection.
const FAILED_PART: f64 = 0.9;
/// Weight of a new service time in the mean.
const MEAN_WEIGHT: f64 = 0.1;

/// How a request at the upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Ending {
    /// Answered after this time.
    Answered(Duration),
    /// Refused by the upstream for want of room.
    Refused,
    /// Not answered.
    Failed,
}

/// Limit on the requests at an upstream: rises slowly with answers, falls at once with refusals.
#[derive(Debug)]
pub(crate) struct Limiter {
    /// Between 1 and `slots`; only refusals take it below [`COLD_LIMIT`].
    limit: f64,
    slots: f64,
    /// Mean service time, in seconds.
    mean: f64,
    /// Answers still to be awaited before another refusal counts: those that were under way at
    /// the last one tell of the same moment.
    deaf: u32,
}

impl Limiter {
    /// A limiter for an upstream of `slots` that may be cold.
    pub(crate) fn new(slots: u16) -> Self {
        let slots = f64::from(slots.max(1));
        Self { limit: COLD_LIMIT.min(slots), slots, mean: 0.0, deaf: 0 }
    }

    /// Requests that may run at once; at least 1.
    pub(crate) fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Mean service time.
    pub(crate) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Learns from a request's end, `running` others being under way.
    pub(crate) fn note(&mut self, ending: Ending, running: u32) {
        let deaf = self.deaf > 0;
        self.deaf = self.deaf.saturating_sub(1);
        match ending {
            Ending::Answered(time) => self.rise(time),
            Ending::Refused if deaf => {}
            Ending::Refused => {
                self.limit = (self.limit * REFUSED_PART).max(1.0);
                self.deaf = running;
            }
            Ending::Failed => {
                self.limit = (self.limit * FAILED_PART).max(COLD_LIMIT.min(self.limit));
            }
        }
    }

    fn rise(&mut self, time: Duration) {
        self.mean += (time.as_secs_f64() - self.mean) * MEAN_WEIGHT;
        self.limit = (self.limit + 1.0 / (self.limit * GROWTH_ROUNDS)).min(self.slots);
    }
}
