//! How many requests an upstream gets at once.

use std::time::Duration;

use rattanarch_types::Moment;

use crate::AttemptOutcome;
use crate::ColdStart;
use crate::LoadReport;

/// Weight of a new service time in the mean.
const MEAN_WEIGHT: f64 = 0.1;
/// Weight of a new service time in the baseline, which is to forget a slow spell of seconds.
const BASE_WEIGHT: f64 = 0.002;
/// Weight once the mean is below the baseline, which then holds an old slow spell.
const BASE_FALL_WEIGHT: f64 = 0.02;
/// The mean may be this multiple of the baseline before the limit falls.
const TOLERANCE: f64 = 2.0;
/// Answers between two changes of the limit by latency, in multiples of the limit.
const ROUND: f64 = 1.0;
/// Least part of the limit that is left after a round of slow answers.
const SLOW_PART: f64 = 0.8;
/// Least part of the slots that slow answers alone leave.
const LATENCY_FLOOR: f64 = 0.5;
/// Part of the limit that is left after a refusal.
const REFUSED_PART: f64 = 0.5;
/// Part of the limit that is left after a request without an answer.
const FAILED_PART: f64 = 0.9;
/// Largest part of the limit that a report can take away.
const REPORT_PART: f64 = 0.25;
/// How long a report counts.
const REPORT_LIFE: Duration = Duration::from_secs(1);

/// Limit on the requests at one upstream at once, learnt from what the daemon itself measures.
///
/// It rises by one a round while answers come at their usual time and the limit is in use. It falls
/// in proportion as they slow down, but by that alone not below half of the slots: slowness may
/// come from elsewhere, and what is not sent is shed. It falls at once on refusals. It never
/// exceeds the upstream's slots, nor what [`ColdStart`] allows. A [`LoadReport`] only corrects it: one
/// that tells of running work that this daemon no longer counts takes away up to a quarter for a
/// second, and none adds.
///
/// ```
/// use std::time::Duration;
/// use rattanarch_admission::{AttemptOutcome, ConcurrencyLimiter, LoadReport};
///
/// let mut limiter = ConcurrencyLimiter::new(20);
/// let now = Duration::from_secs(1);
/// for _ in 0..1_000 {
///     let running = limiter.limit();
///     limiter.observe(now, AttemptOutcome::Responded(Duration::from_millis(5)), running);
/// }
/// assert_eq!(limiter.limit(), 20);
/// limiter.observe(now, AttemptOutcome::Refused, 20);
/// assert_eq!(limiter.limit(), 10);
/// limiter.apply_report(now, LoadReport { running: 0, slots: 400 }, 10);
/// assert_eq!(limiter.limit(), 10);
/// ```
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    /// Between 1 and `slots`.
    limit: f64,
    slots: f64,
    cold: ColdStart,
    /// Mean service time in seconds; 0 before the first answer.
    mean: f64,
    /// Service time in seconds that counts as usual; 0 before the first answer.
    base: f64,
    /// Answers since the limit last changed by latency.
    answers: f64,
    /// Endings still to be awaited before another refusal counts: those that were under way at the
    /// last one tell of the same moment.
    deaf: u32,
    /// Requests that the upstream runs besides those counted here.
    excess: u32,
    /// Until when `excess` counts.
    until: Moment,
    /// Time of the last call.
    now: Moment,
}

impl ConcurrencyLimiter {
    /// For an upstream of `slots` (at least 1) that may be cold.
    pub fn new(slots: u16) -> Self {
        let cold = ColdStart::new(slots);
        let slots = f64::from(slots.max(1));
        Self {
            limit: slots,
            slots,
            cold,
            mean: 0.0,
            base: 0.0,
            answers: 0.0,
            deaf: 0,
            excess: 0,
            until: Moment::ZERO,
            now: Moment::ZERO,
        }
    }

    /// Requests that may run at once, as of the last call; 1 to the upstream's slots.
    pub fn limit(&self) -> u32 {
        let learnt = (self.limit as u32).min(self.cold.limit());
        if self.now >= self.until {
            return learnt.max(1);
        }
        let most = (f64::from(learnt) * REPORT_PART) as u32;
        (learnt - self.excess.min(most)).max(1)
    }

    /// Mean service time; zero before the first answer.
    pub fn mean_service_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Whether the upstream has grown warm.
    pub fn is_warm(&self) -> bool {
        self.cold.is_warm()
    }

    /// Learns from a request's end at `now`; `running` counts the requests under way just before
    /// it, itself included.
    pub fn observe(&mut self, now: Moment, ending: AttemptOutcome, running: u32) {
        self.now = self.now.max(now);
        self.cold.observe(ending, running);
        let deaf = self.deaf > 0;
        self.deaf = self.deaf.saturating_sub(1);
        match ending {
            AttemptOutcome::Responded(time) => self.answer(time, running),
            AttemptOutcome::Refused if !deaf => {
                self.shrink(REFUSED_PART);
                self.deaf = running.saturating_sub(1);
            }
            AttemptOutcome::Failed => self.shrink(FAILED_PART),
            AttemptOutcome::Refused | AttemptOutcome::Cold => {}
        }
    }

    /// Takes a report that came at `now` while `running` requests were under way.
    pub fn apply_report(&mut self, now: Moment, report: LoadReport, running: u32) {
        self.now = self.now.max(now);
        self.excess = report.running.saturating_sub(running);
        self.until = now + REPORT_LIFE;
    }

    fn answer(&mut self, time: Duration, running: u32) {
        let seconds = time.as_secs_f64();
        if self.base == 0.0 {
            self.base = seconds;
            self.mean = seconds;
        }
        self.mean += (seconds - self.mean) * MEAN_WEIGHT;
        let weight = if self.mean < self.base { BASE_FALL_WEIGHT } else { BASE_WEIGHT };
        self.base += (seconds - self.base) * weight;
        self.answers += 1.0;
        if self.answers >= self.limit * ROUND {
            self.answers = 0.0;
            self.adapt(running);
        }
    }

    fn adapt(&mut self, running: u32) {
        let gradient = TOLERANCE * self.base / self.mean.max(f64::MIN_POSITIVE);
        if gradient < 1.0 {
            let least = (self.slots * LATENCY_FLOOR).min(self.limit);
            self.shrink(gradient.max(SLOW_PART));
            self.limit = self.limit.max(least);
        } else if f64::from(running) * 2.0 >= self.limit {
            self.limit = (self.limit + 1.0).min(self.slots);
        }
    }

    fn shrink(&mut self, part: f64) {
        self.limit = (self.limit * part).max(1.0);
    }
}
