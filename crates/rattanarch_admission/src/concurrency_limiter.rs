//! Adaptive limit on the concurrent requests to an upstream.

use std::time::Duration;

use rattanarch_types::Moment;

use crate::AttemptOutcome;
use crate::ColdStart;
use crate::LoadReport;

/// EWMA weight of a new service time in the mean.
const MEAN_WEIGHT: f64 = 0.1;
/// EWMA weight of a new service time in the baseline: low, so that a few slow seconds hardly raise it.
const BASELINE_WEIGHT: f64 = 0.002;
/// EWMA weight while the mean is below the baseline, which is then too high from an earlier slow period.
const BASELINE_FALL_WEIGHT: f64 = 0.02;
/// Multiple of the baseline that the mean may reach before the limit is reduced.
const LATENCY_TOLERANCE: f64 = 2.0;
/// Responses between two changes of the limit by latency, as a multiple of the limit.
const ROUND_FACTOR: f64 = 1.0;
/// Lower bound of the factor on the limit after a round of slow responses.
const MIN_SLOW_RATIO: f64 = 0.8;
/// Ratio of the slots below which slow responses alone do not reduce the limit.
const LATENCY_FLOOR_RATIO: f64 = 0.5;
/// Factor on the limit after a refusal.
const REFUSED_RATIO: f64 = 0.5;
/// Factor on the limit after a request without a response.
const FAILED_RATIO: f64 = 0.9;
/// Largest ratio of the limit by which a report can reduce it.
const MAX_REPORT_RATIO: f64 = 0.25;
/// Time for which a report is used.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);

/// Limit on the concurrent requests to one upstream, adapted to what the daemon itself measures.
///
/// It rises by one a round while service times are near their baseline and the limit is in use. It is
/// reduced in proportion as they grow, but by latency alone not below half of the slots: the cause of
/// slow responses may lie elsewhere, and requests that are not sent are shed. It is reduced at once on refusals.
/// It never exceeds the upstream's slots, nor what [`ColdStart`] allows. A [`LoadReport`] only
/// corrects it: if it reports more running requests than this daemon counts, the limit is reduced by up to a
/// quarter for a second. No report raises it.
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
    /// Mean service time in seconds; 0 before the first response.
    mean: f64,
    /// Usual service time in seconds; 0 before the first response.
    baseline: f64,
    /// Responses since the limit last changed by latency.
    responses: f64,
    /// Outcomes to await before another refusal counts: requests that were running at the last refusal
    /// saw the same overload.
    ignored_refusals: u32,
    /// Requests that the upstream runs besides those that this daemon counts.
    excess: u32,
    /// When `excess` stops to count.
    excess_until: Moment,
    /// Time of the last call.
    now: Moment,
}

impl ConcurrencyLimiter {
    /// A limiter for an upstream of `slots` (at least 1) that may be cold.
    pub fn new(slots: u16) -> Self {
        let cold = ColdStart::new(slots);
        let slots = f64::from(slots.max(1));
        Self {
            limit: slots,
            slots,
            cold,
            mean: 0.0,
            baseline: 0.0,
            responses: 0.0,
            ignored_refusals: 0,
            excess: 0,
            excess_until: Moment::ZERO,
            now: Moment::ZERO,
        }
    }

    /// Requests that may run at once, as of the last call; between 1 and the upstream's slots.
    pub fn limit(&self) -> u32 {
        let adapted = (self.limit as u32).min(self.cold.limit());
        if self.now >= self.excess_until {
            return adapted.max(1);
        }
        let max_reduction = (f64::from(adapted) * MAX_REPORT_RATIO) as u32;
        (adapted - self.excess.min(max_reduction)).max(1)
    }

    /// Mean service time; zero before the first response.
    pub fn mean_service_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Whether the upstream is warm.
    pub fn is_warm(&self) -> bool {
        self.cold.is_warm()
    }

    /// Updates the limit with the outcome of an attempt that ended at `now`. `running` counts the running
    /// requests just before it ended, itself included.
    pub fn observe(&mut self, now: Moment, outcome: AttemptOutcome, running: u32) {
        self.now = self.now.max(now);
        self.cold.observe(outcome, running);
        let ignores_refusal = self.ignored_refusals > 0;
        self.ignored_refusals = self.ignored_refusals.saturating_sub(1);
        match outcome {
            AttemptOutcome::Responded(time) => self.response(time, running),
            AttemptOutcome::Refused if !ignores_refusal => {
                self.reduce(REFUSED_RATIO);
                self.ignored_refusals = running.saturating_sub(1);
            }
            AttemptOutcome::Failed => self.reduce(FAILED_RATIO),
            AttemptOutcome::Refused | AttemptOutcome::Cold => {}
        }
    }

    /// Corrects the limit with a report that arrived at `now`, while this daemon counted `running` requests.
    pub fn apply_report(&mut self, now: Moment, report: LoadReport, running: u32) {
        self.now = self.now.max(now);
        self.excess = report.running.saturating_sub(running);
        self.excess_until = now + REPORT_LIFETIME;
    }

    fn response(&mut self, time: Duration, running: u32) {
        let seconds = time.as_secs_f64();
        if self.baseline == 0.0 {
            self.baseline = seconds;
            self.mean = seconds;
        }
        self.mean += (seconds - self.mean) * MEAN_WEIGHT;
        let weight = if self.mean < self.baseline { BASELINE_FALL_WEIGHT } else { BASELINE_WEIGHT };
        self.baseline += (seconds - self.baseline) * weight;
        self.responses += 1.0;
        if self.responses >= self.limit * ROUND_FACTOR {
            self.responses = 0.0;
            self.adapt(running);
        }
    }

    fn adapt(&mut self, running: u32) {
        let gradient = LATENCY_TOLERANCE * self.baseline / self.mean.max(f64::MIN_POSITIVE);
        if gradient < 1.0 {
            let floor = (self.slots * LATENCY_FLOOR_RATIO).min(self.limit);
            self.reduce(gradient.max(MIN_SLOW_RATIO));
            self.limit = self.limit.max(floor);
        } else if f64::from(running) * 2.0 >= self.limit {
            self.limit = (self.limit + 1.0).min(self.slots);
        }
    }

    fn reduce(&mut self, ratio: f64) {
        self.limit = (self.limit * ratio).max(1.0);
    }
}
