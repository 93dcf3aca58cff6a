//! Selection of an upstream for a request without a key.

use std::time::Duration;

use rattanarch_types::Moment;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::AttemptOutcome;

/// EWMA weight of a new service time in the mean.
const MEAN_WEIGHT: f64 = 0.2;
/// An upstream whose mean service time exceeds the median of all by this factor is a straggler.
const STRAGGLER_FACTOR: f64 = 3.0;
/// Attempts that an upstream must have completed before it can count as a straggler.
const MIN_ATTEMPTS: u32 = 5;
/// At most one in this many upstreams is ejected.
const UPSTREAMS_PER_EJECTION: usize = 3;
/// Time until the first probe of an ejected upstream; it doubles with each failed probe.
const INITIAL_EJECTION: Duration = Duration::from_millis(500);
/// Maximum number of doublings of [`INITIAL_EJECTION`], which makes 16 s.
const MAX_DOUBLINGS: u32 = 5;
/// Service time in seconds that a failed attempt counts as, unless the mean is longer.
const FAILED_SECONDS: f64 = 1.0;

new_key_type! {
    /// Key of an upstream in a [`Selector`].
    pub struct UpstreamKey;
}

#[derive(Clone, Debug, Default)]
struct Upstream {
    /// Mean service time in seconds; 0 before the first outcome.
    mean: f64,
    /// Completed attempts.
    completed: u32,
    running: u32,
    /// When the upstream may be probed; `None` unless it is ejected.
    probe_at: Option<Moment>,
    /// Ejections and failed probes in a row.
    ejections: u32,
}

impl Upstream {
    /// Expected latency of a new request.
    fn expected_latency(&self) -> f64 {
        self.mean * f64::from(self.running + 1)
    }
}

/// Chooses the better of two random upstreams by expected latency: mean service time times the number
/// of running requests, the new one included.
///
/// An upstream that is far slower than the median is ejected, but never more than a third of all. After a
/// delay it is probed with one request at a time, until it is fast again.
///
/// ```
/// use std::time::Duration;
/// use rattanarch_admission::{AttemptOutcome, Selector};
///
/// let mut selector = Selector::default();
/// let (fast, slow) = (selector.insert(), selector.insert());
/// let now = Duration::from_secs(1);
/// for (upstream, millis) in [(fast, 2), (slow, 40)] {
///     selector.start(upstream);
///     selector.end(now, upstream, AttemptOutcome::Responded(Duration::from_millis(millis)));
/// }
/// assert_eq!(selector.choose(now, [0, 0], None), Some(fast));
/// assert_eq!(selector.choose(now, [0, 0], Some(fast)), Some(slow));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Selector {
    upstreams: SlotMap<UpstreamKey, Upstream>,
}

impl Selector {
    /// Adds an upstream of which nothing is known.
    pub fn insert(&mut self) -> UpstreamKey {
        self.upstreams.insert(Upstream::default())
    }

    /// Removes an upstream. Its running requests may still end.
    pub fn remove(&mut self, key: UpstreamKey) {
        self.upstreams.remove(key);
    }

    /// Number of ejected upstreams.
    pub fn ejected(&self) -> usize {
        self.upstreams.values().filter(|upstream| upstream.probe_at.is_some()).count()
    }

    /// Chooses an upstream other than `tried` for a request. `random` holds two random numbers.
    ///
    /// A first attempt goes to an ejected upstream that is due for its probe, if there is one.
    pub fn choose(
        &self,
        now: Moment,
        random: [u64; 2],
        tried: Option<UpstreamKey>,
    ) -> Option<UpstreamKey> {
        if tried.is_none()
            && let Some(probe) = self.due_probe(now)
        {
            return Some(probe);
        }
        let candidates = self.candidates(tried);
        let first = draw(random[0], candidates.len())?;
        let Some(step) = draw(random[1], candidates.len() - 1) else {
            return Some(candidates[first]);
        };
        let second = (first + 1 + step) % candidates.len();
        let (first, second) = (candidates[first], candidates[second]);
        let better =
            self.upstreams[second].expected_latency() < self.upstreams[first].expected_latency();
        Some(if better { second } else { first })
    }

    /// Running requests and mean service time of an upstream, zero before the first outcome; `None` if it is unknown.
    pub fn load(&self, key: UpstreamKey) -> Option<(u32, Duration)> {
        let upstream = self.upstreams.get(key)?;
        Some((upstream.running, Duration::from_secs_f64(upstream.mean)))
    }

    /// Counts a request that was sent to an upstream.
    pub fn start(&mut self, key: UpstreamKey) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.running += 1;
        }
    }

    /// Records the outcome of a request that was sent to an upstream.
    pub fn end(&mut self, now: Moment, key: UpstreamKey, outcome: AttemptOutcome) {
        let median = self.median();
        let may_eject = (self.ejected() + 1) * UPSTREAMS_PER_EJECTION <= self.upstreams.len();
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        upstream.running = upstream.running.saturating_sub(1);
        let Some(seconds) = service_time(outcome, upstream.mean) else { return };
        let was_ejected = upstream.probe_at.is_some();
        // A probe replaces the mean, which dates from before the ejection.
        if upstream.completed == 0 || was_ejected {
            upstream.mean = seconds;
        } else {
            upstream.mean += (seconds - upstream.mean) * MEAN_WEIGHT;
        }
        upstream.completed = upstream.completed.saturating_add(1);
        let slow = upstream.mean > median * STRAGGLER_FACTOR && upstream.completed >= MIN_ATTEMPTS;
        if slow && (was_ejected || may_eject) {
            upstream.probe_at = Some(now + INITIAL_EJECTION * (1 << upstream.ejections));
            upstream.ejections = (upstream.ejections + 1).min(MAX_DOUBLINGS);
        } else if was_ejected {
            upstream.probe_at = None;
            upstream.ejections = 0;
        }
    }

    fn due_probe(&self, now: Moment) -> Option<UpstreamKey> {
        let is_due = |upstream: &Upstream| {
            upstream.running == 0 && upstream.probe_at.is_some_and(|probe_at| now >= probe_at)
        };
        self.upstreams.iter().find(|(_, upstream)| is_due(upstream)).map(|(key, _)| key)
    }

    /// Upstreams other than `tried` that may be chosen: those that are not ejected, or all if none is left.
    fn candidates(&self, tried: Option<UpstreamKey>) -> Vec<UpstreamKey> {
        let others = || self.upstreams.iter().filter(|(key, _)| Some(*key) != tried);
        let healthy = others().filter(|(_, upstream)| upstream.probe_at.is_none());
        let candidates: Vec<_> = healthy.map(|(key, _)| key).collect();
        if candidates.is_empty() { others().map(|(key, _)| key).collect() } else { candidates }
    }

    /// Median of the mean service times of the upstreams with completed attempts; infinite if there are none.
    fn median(&self) -> f64 {
        let used = self.upstreams.values().filter(|upstream| upstream.completed > 0);
        let mut means: Vec<_> = used.map(|upstream| upstream.mean).collect();
        means.sort_unstable_by(f64::total_cmp);
        means.get(means.len().saturating_sub(1) / 2).copied().unwrap_or(f64::INFINITY)
    }
}

/// Service time in seconds that an outcome counts as; `None` if it says nothing about speed.
fn service_time(outcome: AttemptOutcome, mean: f64) -> Option<f64> {
    match outcome {
        AttemptOutcome::Responded(time) => Some(time.as_secs_f64()),
        AttemptOutcome::Failed => Some(FAILED_SECONDS.max(mean)),
        AttemptOutcome::Refused | AttemptOutcome::Cold => Some(mean).filter(|mean| *mean > 0.0),
    }
}

/// Maps a random number to one below `end`; `None` if `end` is 0.
fn draw(random: u64, end: usize) -> Option<usize> {
    let product = u128::from(random) * end as u128;
    (end > 0).then_some((product >> u64::BITS) as usize)
}
