//! Times at which refused callers return.

use std::time::Duration;

use rattanarch_types::Moment;

use crate::RateMeter;

/// Ratio of the time that a caller has left up to which it honours a delay.
const HONOURED_RATIO: f64 = 1.0 / 3.0;

/// Ratio of the capacity that is promised however many requests arrive: returning callers compete with them by rank.
const MIN_SPARE_RATIO: f64 = 0.1;

/// Longest delay that a caller without a reservation is told, unless the first free turn is later: it has given up by
/// then.
const MAX_DELAY: Duration = Duration::from_secs(5);

/// Lowest rate from which a duration is computed, in requests a second: an upstream's own limit may be zero.
const MIN_RATE: f64 = 1.0 / 60.0;

/// Capacity and demand at the time of a refusal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryDemand {
    /// Requests a second that the upstream can serve.
    pub capacity: f64,
    /// Requests a second that arrive, first attempts and returning callers.
    pub arrivals: f64,
    /// Time in which the requests that wait now have run.
    pub backlog: Duration,
}

/// Reservations for refused callers: each is given the next turn that has not been promised to another. The turns of
/// an interval are what the upstream can serve in it beside the first attempts that are expected.
///
/// This is designed for bursts of 1.5 to 2.5 times the usual load, at an upstream that serves 20 to 200 requests a
/// second, whose refused callers have 0.4 to 2 s left and retry once.
///
/// ```
/// use std::time::Duration;
/// use rattanarch_admission::{RetryDemand, RetrySchedule};
///
/// let ms = Duration::from_millis;
/// let mut schedule = RetrySchedule::default();
/// let demand = RetryDemand { capacity: 60.0, arrivals: 40.0, backlog: ms(100) };
/// assert_eq!(schedule.reserve(ms(0), demand, ms(900)), ms(100));
/// assert_eq!(schedule.reserve(ms(0), demand, ms(900)), ms(150));
/// // A caller that honours at most 150 ms reserves nothing.
/// assert_eq!(schedule.reserve(ms(0), demand, ms(450)), ms(200));
/// assert_eq!(schedule.reserve(ms(0), demand, ms(900)), ms(200));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RetrySchedule {
    /// First turn that has not been promised.
    next_turn: Moment,
    /// First time that no caller without a reservation was told. Such callers are told different times too, so that
    /// those that return nevertheless do not return at once.
    next_untold: Moment,
    /// Rate of reservations, and so of returning callers.
    reservations: RateMeter,
}

impl RetrySchedule {
    /// Returns the time after which a refused caller that has `left` until its deadline is to return. The turn is
    /// reserved if the caller can wait for it.
    pub fn reserve(&mut self, now: Moment, demand: RetryDemand, left: Duration) -> Duration {
        let turn = self.next_turn.max(now + demand.backlog);
        let interval = self.spare_interval(demand);
        if Self::is_honoured(turn - now, left) {
            self.next_turn = turn + interval;
            self.reservations.count(now);
            return turn - now;
        }
        let untold = self.next_untold.max(turn).min(turn.max(now + MAX_DELAY));
        self.next_untold = untold + interval;
        untold - now
    }

    /// Whether a caller that has `left` until its deadline waits for `delay`, so that its turn is reserved.
    pub fn is_honoured(delay: Duration, left: Duration) -> bool {
        delay <= left.mul_f64(HONOURED_RATIO)
    }

    /// Mean time between two turns.
    fn spare_interval(&self, demand: RetryDemand) -> Duration {
        let first_attempts = (demand.arrivals - self.reservations.rate()).max(0.0);
        let spare = (demand.capacity - first_attempts).max(demand.capacity * MIN_SPARE_RATIO);
        Duration::from_secs_f64(1.0 / spare.max(MIN_RATE))
    }
}
