//! Request rate and concurrency for an upstream that has just started or recovered.

use std::collections::VecDeque;
use std::time::Duration;

use derive_more::Display;
use rattanarch_types::Moment;

use crate::AttemptOutcome;
use crate::RateLimiter;

/// Factor on the configured rate of a cold upstream at first. One that gets only its full rate has no capacity left to
/// catch up on requests that its start delayed.
const INITIAL_FACTOR: f64 = 1.1;

/// Highest factor while the upstream says that it is cold. A higher one leaves less of the platform's rule for the end of
/// that time: with 1.4 fewer were served in all of a warm-up of 1 s at 100 requests a second.
const MAX_COLD_FACTOR: f64 = 1.3;

/// Lowest factor while it says so.
const MIN_COLD_FACTOR: f64 = 1.0;

/// Lowest factor while the upstream may still be cold although it says that it is not: below 1, so that requests that
/// have piled up are worked off.
const MIN_WARMING_FACTOR: f64 = 0.9;

/// Growth of the factor for each response in time. At 15 responses a second the factor rises from 1.1 to 1.3 in 0.7 s.
const FACTOR_STEP: f64 = 0.02;

/// Ratio of the rate below which served requests show that it can't keep up, if as many run as are allowed.
const SERVED_RATIO: f64 = 0.85;

/// Time over which served requests are counted.
const SERVED_WINDOW: Duration = Duration::from_secs(1);

/// Requests that a cold upstream runs at once, as a multiple of the rate times the service time. More would wait inside the
/// upstream.
const COLD_CONCURRENCY_RATIO: f64 = 1.1;

/// Added to that number, since requests arrive irregularly and take different times.
const COLD_CONCURRENCY_MARGIN: f64 = 0.5;

/// Lowest such number, for work of which some takes far longer than most: with 3, exponentially distributed work got
/// 17 percent less than at 1.1 times the configured rate.
const MIN_COLD_CONCURRENCY: u32 = 4;

/// Platform's rule for a cold upstream: at most this multiple of the configured rate, and `RULE_BURST`, in any second.
const RULE_FACTOR: f64 = 1.5;

/// See `RULE_FACTOR`.
const RULE_BURST: f64 = 8.0;

/// Time for which the factor is kept after a burst that uses up the platform's rule.
const RULE_WINDOW: Duration = Duration::from_secs(1);

/// Time in which no request ran after which an upstream that may still be cold counts as warm. Senders avoid a cold
/// upstream, so that it may get no request that would show that it is warm.
const IDLE_TIME: Duration = Duration::from_secs(2);

/// Part of the slots up to which so few requests run that an upstream which refuses one is not full.
const FEW_RATIO: f64 = 0.25;

/// Time after such a refusal in which others don't lower the concurrency either: an upstream that refuses a part of its
/// requests does so also while many run.
const UNRELATED_TIME: Duration = Duration::from_secs(2);

/// Responses from whose mean it is told that the upstream is warm.
const EVIDENCE_COUNT: u32 = 3;

/// Usual ratio of service times while cold to those while warm; from 2 to 4.
const COLD_SLOWDOWN: f64 = 3.0;

/// Ratio of the mean while cold up to which that mean shows a warm upstream. Work takes 2 to 4 times as long while cold.
const EVIDENCE_RATIO: f64 = 0.5;

/// Multiple of the usual mean up to which it does.
const USUAL_RATIO: f64 = 1.5;

/// Consecutive failures after which the concurrency is lowered: single ones occur at healthy upstreams.
const FAILURE_COUNT: u32 = 3;

/// Consecutive slow responses after which it may be lowered, as a multiple of the slots: at an upstream whose service times
/// merely vary, some of so many are in time. With five in all, slow periods of 400 ms in which work took three times as long
/// lowered it.
const SLOW_ROUNDS: u32 = 2;

/// Multiple of the usual mean from which responses are slow.
const SLOW_RATIO: f64 = 3.0;

/// Ratio of the slots below which slow responses alone do not lower the concurrency: their cause may lie elsewhere.
const SLOW_FLOOR_RATIO: f64 = 0.5;

/// Factor on the concurrency after failures or slow responses.
const FAILED_RATIO: f64 = 0.5;

/// Factor on the concurrency after a refusal.
const REFUSED_RATIO: f64 = 0.75;

/// Lowest concurrency.
const MIN_WINDOW: f64 = 2.0;

/// Factor on the concurrency for a response in time from an upstream that has failed.
const RECOVERY_FACTOR: f64 = 2.0;

/// Requests a second to an upstream that has only failed of late.
const PROBE_RATE: f64 = 8.0;

/// Multiple of the usual mean of the recent one from which the upstream may have become cold without notice.
const SUSPICION_RATIO: f64 = 2.0;

/// EWMA weight of a service time in the recent mean: over some ten responses.
const RECENT_WEIGHT: f64 = 0.1;

/// EWMA weight in the usual mean, so that a few slow seconds hardly raise it.
const USUAL_WEIGHT: f64 = 0.002;

/// Responses before the usual mean is known.
const USUAL_COUNT: u32 = 50;

/// Responses while cold before the mean of that time is known.
const COLD_COUNT: u32 = 10;

/// State of an upstream, as far as it limits the requests that it gets.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum PaceState {
    /// It says that it is cold.
    #[display("cold")]
    Cold,
    /// The time for which it said so has ended, and no response shows yet that it is warm.
    #[display("warming")]
    Warming,
    /// It gets what its slots can run.
    #[display("warm")]
    Warm,
    /// It refused, failed or was slow, and gets fewer requests at once.
    #[display("recovering")]
    Recovering,
    /// It has only failed of late, and gets single requests.
    #[display("probing")]
    Probing,
}

/// What changed the state.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum PaceCause {
    /// A new life of the upstream.
    #[display("new life")]
    NewLife,
    /// The upstream said that it is cold.
    #[display("cold time told")]
    ColdTold,
    /// The cold time that it told has ended.
    #[display("cold time ended")]
    ColdEnded,
    /// No request ran for a while.
    #[display("no requests")]
    Idle,
    /// Responses were in time.
    #[display("responses in time")]
    InTime,
    /// Responses were several times slower than usual.
    #[display("slow responses")]
    Slow,
    /// Consecutive requests failed.
    #[display("failures")]
    Failures,
    /// The upstream itself refused a request.
    #[display("refusal")]
    Refusal,
}

/// A change of the state, with what decided it.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
#[display(
    "{from} to {to}: {cause}, concurrency {concurrency}, rate {rate:.1}, recent mean {}ms, usual {}ms, cold {}ms",
    recent.as_millis(), usual.as_millis(), cold.as_millis()
)]
pub struct PaceChange {
    /// State before.
    pub from: PaceState,
    /// State now.
    pub to: PaceState,
    /// What changed it.
    pub cause: PaceCause,
    /// Requests that may run at once now.
    pub concurrency: u32,
    /// Requests a second that may start now; infinite without a limit.
    pub rate: f64,
    /// Mean of the last service times; zero if not known.
    pub recent: Duration,
    /// Usual mean; zero if not known.
    pub usual: Duration,
    /// Mean while last cold; zero if not known.
    pub cold: Duration,
}

/// What senders may expect of the upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceForecast {
    /// State now.
    pub state: PaceState,
    /// Requests that it may run at once.
    pub concurrency: u32,
    /// Time for which it says that it stays cold.
    pub cold_left: Duration,
}

/// Whether the upstream may be cold.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Heat {
    Cold { until: Moment },
    Warming { since: Moment },
    Warm,
}

/// Requests that an upstream gets while it is cold, warms up, or recovers from failures.
///
/// Designed for one upstream of 6 to 20 slots that all daemons together offer 15 to 200 requests a second, that sustains
/// 10 to 28 a second while it is cold and terminates well above. It is cold for seconds after each start, and may become
/// cold or fail without notice. Inputs are what its heartbeats and responses report.
///
/// - The rate of a cold upstream follows whether requests pile up. It stays limited after the time that the upstream
///   named until responses are as fast as those of a warm one.
/// - Refusals, consecutive failures and slow responses lower the concurrency; each response in time raises it by one.
///   Requests sent before a reduction are not counted for the next one: they saw the same event.
///
/// A warm upstream that responds gets all its slots and no rate limit.
///
/// ```
/// use std::time::Duration;
/// use rattanarch_admission::{AttemptOutcome, PaceState, UpstreamPace};
///
/// let second = Duration::from_secs(1);
/// let mut pace = UpstreamPace::new(12);
/// assert_eq!((pace.concurrency(), pace.rate()), (12, None));
/// for _ in 0..3 {
///     pace.observe(second, second, AttemptOutcome::Failed, 12);
/// }
/// assert_eq!((pace.state(), pace.concurrency()), (PaceState::Recovering, 6));
/// ```
#[derive(Clone, Debug)]
pub struct UpstreamPace {
    slots: u32,
    /// Whether responses count; otherwise the told cold time alone does.
    adaptive: bool,
    heat: Heat,
    /// When a request last ran.
    observed_at: Moment,
    /// When more than a few requests last ran.
    busy_at: Moment,
    /// Time until which refusals say nothing about the concurrency.
    unrelated_until: Moment,
    /// Requests that may run at once; from `MIN_WINDOW`, if there are as many slots, to `slots`.
    window: f64,
    /// Whether all requests have failed since the window was lowest.
    probing: bool,
    /// Whether the window was lowered by failures and is not restored yet.
    failed: bool,
    /// Requests sent earlier do not lower the window.
    reduced_at: Moment,
    consecutive_failed: u32,
    consecutive_slow: u32,
    /// Configured requests a second while cold; infinite without a limit.
    cold_rate: f64,
    /// Factor on `cold_rate`.
    factor: f64,
    /// When the responses of the last `SERVED_WINDOW` came, the earliest first.
    served: VecDeque<Moment>,
    /// When the first response while cold came.
    served_since: Option<Moment>,
    /// Mean and number of service times while cold.
    cold: Mean,
    /// Lowest mean while cold, in seconds.
    cold_best: f64,
    /// Mean of responses to requests sent while warming.
    evidence: Mean,
    recent: Mean,
    /// Mean of a warm upstream on this machine; kept over its lives.
    usual: Mean,
    /// Requests that may be sent at once beyond the rate.
    extra_burst: f64,
    changes: Vec<PaceChange>,
}

/// Mean of service times in seconds: an average of the first ones, then an EWMA.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Mean {
    seconds: f64,
    count: u32,
}

impl Mean {
    fn add(&mut self, time: Duration, weight: f64) {
        self.count = self.count.saturating_add(1);
        let weight = weight.max(1.0 / f64::from(self.count));
        self.seconds += (time.as_secs_f64() - self.seconds) * weight;
    }

    fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }
}

impl UpstreamPace {
    /// The pace of an upstream with `slots` (at least 1) of which nothing bad is known.
    pub fn new(slots: u32) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            adaptive: true,
            heat: Heat::Warm,
            observed_at: Moment::ZERO,
            busy_at: Moment::ZERO,
            unrelated_until: Moment::ZERO,
            window: f64::from(slots),
            probing: false,
            failed: false,
            reduced_at: Moment::ZERO,
            consecutive_failed: 0,
            consecutive_slow: 0,
            cold_rate: f64::INFINITY,
            factor: INITIAL_FACTOR,
            served: VecDeque::new(),
            served_since: None,
            cold: Mean::default(),
            cold_best: f64::INFINITY,
            evidence: Mean::default(),
            recent: Mean::default(),
            usual: Mean::default(),
            extra_burst: 0.0,
            changes: Vec::new(),
        }
    }

    /// A pace that doesn't follow responses: 1.1 times the configured rate while the upstream says that it is cold, and
    /// all slots at any time.
    pub fn fixed(slots: u32) -> Self {
        Self { adaptive: false, ..Self::new(slots) }
    }

    /// Sets whether responses count.
    pub fn set_adaptive(&mut self, adaptive: bool) {
        self.adaptive = adaptive;
    }

    /// Whether responses count.
    pub fn is_adaptive(&self) -> bool {
        self.adaptive
    }

    /// Sets the number of slots. A window that was not lowered stays at the slots.
    pub fn set_slots(&mut self, slots: u32) {
        let is_full = self.window >= f64::from(self.slots);
        self.slots = slots.max(1);
        let slots = f64::from(self.slots);
        self.window = if is_full { slots } else { self.window.min(slots) };
    }

    /// Forgets what is known of an earlier life, but not the usual service time of the machine.
    pub fn begin_life(&mut self) {
        let before = self.state();
        let (usual, changes) = (self.usual, std::mem::take(&mut self.changes));
        *self = Self { adaptive: self.adaptive, usual, changes, ..Self::new(self.slots) };
        self.record_change(before, PaceCause::NewLife);
    }

    /// Records that the upstream stays cold for `remaining` from `now`, and then takes `rate` requests a second.
    pub fn set_cold(&mut self, now: Moment, remaining: Duration, rate: f64) {
        self.update(now);
        let before = self.state();
        if self.heat == Heat::Warm {
            self.factor = INITIAL_FACTOR;
            (self.served, self.served_since) = (VecDeque::new(), None);
            self.cold = Mean::default();
            let is_known = self.usual.count >= USUAL_COUNT;
            let expected = self.usual.seconds * COLD_SLOWDOWN;
            self.cold_best = if is_known { expected } else { f64::INFINITY };
        }
        self.cold_rate = rate;
        self.factor = self.factor.clamp(INITIAL_FACTOR, MAX_COLD_FACTOR);
        self.heat = Heat::Cold { until: now + remaining };
        self.record_change(before, PaceCause::ColdTold);
    }

    /// Applies that time has passed.
    pub fn update(&mut self, now: Moment) {
        let before = self.state();
        let until = match self.heat {
            Heat::Cold { until } => until,
            Heat::Warming { since } if self.is_idle(now, since) => {
                self.heat = Heat::Warm;
                return self.record_change(before, PaceCause::Idle);
            }
            Heat::Warming { .. } | Heat::Warm => return,
        };
        if now < until {
            return;
        }
        let is_known = self.cold.count >= COLD_COUNT && self.cold_rate.is_finite();
        self.heat = if is_known { Heat::Warming { since: now } } else { Heat::Warm };
        self.evidence = Mean::default();
        self.extra_burst = if is_known { self.spare_burst() } else { 0.0 };
        self.record_change(before, PaceCause::ColdEnded);
    }

    /// Whether no request has run lately at `now`, in a state that began at `since`.
    fn is_idle(&self, now: Moment, since: Moment) -> bool {
        now >= since.max(self.observed_at) + IDLE_TIME
    }

    /// Requests that the platform's rule allows at once besides those of the present rate, in case it is still cold.
    fn spare_burst(&self) -> f64 {
        let rate = self.factor * self.cold_rate;
        // One more starts in a second that begins with a start.
        let regular = rate + RateLimiter::burst(rate) + 1.0;
        (RULE_FACTOR * self.cold_rate + RULE_BURST - regular).max(0.0)
    }

    /// Records the outcome at `now` of a request sent at `sent`. `running` counts the running requests just before it
    /// ended, itself included.
    pub fn observe(&mut self, now: Moment, sent: Moment, outcome: AttemptOutcome, running: u32) {
        self.update(now);
        if !self.adaptive {
            return;
        }
        self.record_running(now, running);
        let before = self.state();
        let cause = match outcome {
            AttemptOutcome::Responded(time) => self.respond(now, sent, time, running),
            AttemptOutcome::Failed => self.fail(now, sent),
            AttemptOutcome::Refused if self.is_unrelated(now, sent) => PaceCause::Refusal,
            AttemptOutcome::Refused | AttemptOutcome::Cold => self.refuse(now, sent),
        };
        self.record_change(before, cause);
    }

    fn respond(&mut self, now: Moment, sent: Moment, time: Duration, running: u32) -> PaceCause {
        self.consecutive_failed = 0;
        self.recent.add(time, RECENT_WEIGHT);
        match self.heat {
            Heat::Cold { .. } => self.respond_cold(now, time, running),
            Heat::Warming { since } => {
                if now >= since + RULE_WINDOW {
                    self.adapt_factor(now, running, (MIN_WARMING_FACTOR, f64::INFINITY));
                }
                if sent >= since {
                    self.respond_warming(time);
                }
            }
            Heat::Warm if self.is_slow(sent, time) => {
                self.usual.add(time, USUAL_WEIGHT);
                return self.slow_down(now);
            }
            Heat::Warm => self.usual.add(time, USUAL_WEIGHT),
        }
        self.consecutive_slow = 0;
        self.probing = false;
        let window = if self.failed { self.window * RECOVERY_FACTOR } else { self.window + 1.0 };
        self.window = window.min(f64::from(self.slots));
        self.failed &= self.window < f64::from(self.slots);
        PaceCause::InTime
    }

    fn respond_cold(&mut self, now: Moment, time: Duration, running: u32) {
        self.cold.add(time, RECENT_WEIGHT);
        if self.cold.count >= COLD_COUNT {
            self.cold_best = self.cold_best.min(self.cold.seconds);
        }
        self.adapt_factor(now, running, (MIN_COLD_FACTOR, MAX_COLD_FACTOR));
    }

    fn respond_warming(&mut self, time: Duration) {
        self.evidence.add(time, 1.0 / f64::from(EVIDENCE_COUNT));
        let is_usual = self.usual.count >= USUAL_COUNT
            && self.evidence.seconds <= self.usual.seconds * USUAL_RATIO;
        let is_faster = self.evidence.seconds <= self.cold.seconds * EVIDENCE_RATIO;
        if self.evidence.count >= EVIDENCE_COUNT && (is_usual || is_faster) {
            self.heat = Heat::Warm;
            self.extra_burst = 0.0;
            self.recent = self.evidence;
        }
    }

    /// Adapts the factor on the rate, from `min` to `max`: up for a response in time, down to what is served if that is
    /// less than the rate.
    fn adapt_factor(&mut self, now: Moment, running: u32, (min, max): (f64, f64)) {
        self.served.push_back(now);
        while self.served.front().is_some_and(|served| *served + SERVED_WINDOW <= now) {
            self.served.pop_front();
        }
        let since = *self.served_since.get_or_insert(now);
        let served = self.served.len() as f64 / SERVED_WINDOW.as_secs_f64() / self.cold_rate;
        let is_full = running >= self.cold_concurrency();
        let is_judged = now >= since + SERVED_WINDOW;
        self.factor = match (is_full, is_judged) {
            (true, true) if served < self.factor * SERVED_RATIO => {
                served.clamp(min, self.factor.max(min))
            }
            (true, false) => self.factor,
            _ => (self.factor + FACTOR_STEP).clamp(min, max),
        };
    }

    /// Requests that run at once at the present rate, by their time while none pile up.
    fn cold_concurrency(&self) -> u32 {
        if !self.cold_best.is_finite() || !self.cold_rate.is_finite() {
            return self.slots;
        }
        let expected = self.cold_rate * self.factor * self.cold_best;
        let limit = (expected * COLD_CONCURRENCY_RATIO + COLD_CONCURRENCY_MARGIN) as u32;
        limit.max(MIN_COLD_CONCURRENCY)
    }

    /// Whether a response is several times slower than usual. Those to requests sent before the last reduction are not
    /// counted.
    fn is_slow(&self, sent: Moment, time: Duration) -> bool {
        self.usual.count >= USUAL_COUNT
            && sent >= self.reduced_at
            && time.as_secs_f64() > self.usual.seconds * SLOW_RATIO
    }

    fn slow_down(&mut self, now: Moment) -> PaceCause {
        self.consecutive_slow += 1;
        let is_slow = self.recent.seconds > self.usual.seconds * SLOW_RATIO;
        if is_slow && self.consecutive_slow >= SLOW_ROUNDS * self.slots {
            let floor = (f64::from(self.slots) * SLOW_FLOOR_RATIO).min(self.window);
            self.reduce(now, FAILED_RATIO);
            self.window = self.window.max(floor);
        }
        PaceCause::Slow
    }

    fn fail(&mut self, now: Moment, sent: Moment) -> PaceCause {
        if sent >= self.reduced_at {
            self.consecutive_failed += 1;
            if self.consecutive_failed >= FAILURE_COUNT || self.probing {
                self.probing = self.window <= MIN_WINDOW;
                self.failed = true;
                self.reduce(now, FAILED_RATIO);
            }
        }
        PaceCause::Failures
    }

    /// Whether a refusal of a request sent at `sent` has nothing to do with the concurrency: few slots of a warm upstream have
    /// been taken since then, or it has lately refused one so. The concurrency is then restored, since a lower one would add
    /// refusals to those of the upstream. How many ran is seen at the end of each request.
    fn is_unrelated(&mut self, now: Moment, sent: Moment) -> bool {
        if self.heat == Heat::Warm && sent > self.busy_at {
            self.unrelated_until = now + UNRELATED_TIME;
            if !self.failed {
                self.window = f64::from(self.slots);
            }
        }
        now < self.unrelated_until
    }

    /// Records that `running` requests run at `now`.
    pub fn record_running(&mut self, now: Moment, running: u32) {
        if running > 0 {
            self.observed_at = now;
        }
        if f64::from(running) > f64::from(self.slots) * FEW_RATIO {
            self.busy_at = now;
        }
    }

    fn refuse(&mut self, now: Moment, sent: Moment) -> PaceCause {
        if sent >= self.reduced_at {
            self.reduce(now, REFUSED_RATIO);
        }
        PaceCause::Refusal
    }

    fn reduce(&mut self, now: Moment, ratio: f64) {
        let lowest = MIN_WINDOW.min(f64::from(self.slots));
        self.window = (self.window * ratio).max(lowest);
        self.reduced_at = now;
        (self.consecutive_failed, self.consecutive_slow) = (0, 0);
    }

    /// State now.
    pub fn state(&self) -> PaceState {
        match self.heat {
            Heat::Cold { .. } => PaceState::Cold,
            Heat::Warming { .. } => PaceState::Warming,
            Heat::Warm if self.probing => PaceState::Probing,
            Heat::Warm if self.window < f64::from(self.slots) => PaceState::Recovering,
            Heat::Warm => PaceState::Warm,
        }
    }

    /// Whether the upstream is cold at `now`, as far as it is known.
    pub fn is_cold(&self, now: Moment) -> bool {
        match self.heat {
            Heat::Cold { until } => now < until || self.cold.count >= COLD_COUNT,
            Heat::Warming { since } => !self.is_idle(now, since),
            Heat::Warm => false,
        }
    }

    /// Whether the upstream may have become cold without notice: responses are slower than usual.
    pub fn suspects_cold(&self) -> bool {
        self.heat == Heat::Warm
            && self.usual.count >= USUAL_COUNT
            && self.recent.seconds > self.usual.seconds * SUSPICION_RATIO
    }

    /// Requests that may run at once; from 1 to the slots.
    pub fn concurrency(&self) -> u32 {
        let limit = match self.heat {
            Heat::Cold { .. } if self.adaptive => self.cold_concurrency(),
            Heat::Cold { .. } | Heat::Warming { .. } | Heat::Warm => self.slots,
        };
        (self.window as u32).min(limit).clamp(1, self.slots)
    }

    /// Requests a second that may start; `None` without a limit.
    pub fn rate(&self) -> Option<f64> {
        let cold = (self.heat != Heat::Warm).then_some(self.cold_rate * self.factor);
        let probe = self.probing.then_some(PROBE_RATE);
        let rate = cold.unwrap_or(f64::INFINITY).min(probe.unwrap_or(f64::INFINITY));
        rate.is_finite().then_some(rate)
    }

    /// Takes the requests that may be sent at once beyond the rate, since the last call.
    pub fn take_burst(&mut self) -> f64 {
        std::mem::take(&mut self.extra_burst)
    }

    /// What senders may expect after `now`.
    pub fn forecast(&self, now: Moment) -> PaceForecast {
        let cold_left = match self.heat {
            Heat::Cold { until } => until.saturating_sub(now),
            Heat::Warming { .. } | Heat::Warm => Duration::ZERO,
        };
        PaceForecast { state: self.state(), concurrency: self.concurrency(), cold_left }
    }

    /// Takes the changes of the state since the last call.
    pub fn take_changes(&mut self) -> Vec<PaceChange> {
        std::mem::take(&mut self.changes)
    }

    fn record_change(&mut self, from: PaceState, cause: PaceCause) {
        let to = self.state();
        if from == to {
            return;
        }
        self.changes.push(PaceChange {
            from,
            to,
            cause,
            concurrency: self.concurrency(),
            rate: self.rate().unwrap_or(f64::INFINITY),
            recent: self.recent.duration(),
            usual: self.usual.duration(),
            cold: self.cold.duration(),
        });
    }
}
