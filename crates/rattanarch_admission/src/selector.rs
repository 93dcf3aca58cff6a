//! Which of many upstreams takes a request without a key.

use std::time::Duration;

use rattanarch_types::Moment;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::AttemptOutcome;

/// Weight of a new service time in the mean.
const MEAN_WEIGHT: f64 = 0.2;
/// An upstream is a straggler beyond this multiple of the median of the means.
const STRAGGLER_FACTOR: f64 = 3.0;
/// Endings before an upstream may be a straggler.
const MIN_ENDINGS: u32 = 5;
/// At most one in this many upstreams is ejected.
const EJECTED_PART: usize = 3;
/// Time until the first probe of an ejected upstream; it doubles with each failed one.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Doublings of that time: up to 16 s.
const MAX_DOUBLINGS: u32 = 5;
/// Service time that a request without an answer counts as, in seconds, if it was not longer.
const FAILED_TIME: f64 = 1.0;

new_key_type! {
    /// Names an upstream in a [`Selector`].
    pub struct UpstreamKey;
}

#[derive(Clone, Debug, Default)]
struct Upstream {
    /// Mean service time in seconds; 0 before the first ending.
    mean: f64,
    endings: u32,
    running: u32,
    /// Since it was ejected: when it may be probed.
    ejected: Option<Moment>,
    /// Ejections and failed probes in a row.
    ejections: u32,
}

impl Upstream {
    /// Expected time until a new request is answered.
    fn cost(&self) -> f64 {
        self.mean * f64::from(self.running + 1)
    }
}

/// Picks the better of two random upstreams by expected latency: mean service time times the
/// requests under way.
///
/// An upstream that is far slower than the median is ejected, never more than a third of all, and
/// probed with one request at a time after a pause until it is fast again.
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

    /// Takes an upstream out; requests under way may still end.
    pub fn remove(&mut self, key: UpstreamKey) {
        self.upstreams.remove(key);
    }

    /// Number of ejected upstreams.
    pub fn ejected(&self) -> usize {
        self.upstreams.values().filter(|upstream| upstream.ejected.is_some()).count()
    }

    /// The upstream for a request, other than `tried`; `draws` are two random numbers.
    ///
    /// An ejected upstream whose pause is over goes first, for its probe.
    pub fn choose(
        &self,
        now: Moment,
        draws: [u64; 2],
        tried: Option<UpstreamKey>,
    ) -> Option<UpstreamKey> {
        if tried.is_none()
            && let Some(probe) = self.due_probe(now)
        {
            return Some(probe);
        }
        let open = self.open(tried);
        let first = draw(draws[0], open.len())?;
        let Some(step) = draw(draws[1], open.len() - 1) else { return Some(open[first]) };
        let second = (first + 1 + step) % open.len();
        let (first, second) = (open[first], open[second]);
        let better = self.upstreams[second].cost() < self.upstreams[first].cost();
        Some(if better { second } else { first })
    }

    /// Notes that a request was sent to an upstream.
    pub fn start(&mut self, key: UpstreamKey) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.running += 1;
        }
    }

    /// Notes that it ended.
    pub fn end(&mut self, now: Moment, key: UpstreamKey, ending: AttemptOutcome) {
        let median = self.median();
        let may_eject = (self.ejected() + 1) * EJECTED_PART <= self.upstreams.len();
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        upstream.running = upstream.running.saturating_sub(1);
        let Some(seconds) = service_time(ending, upstream.mean) else { return };
        let was_ejected = upstream.ejected.is_some();
        // A probe counts alone: what was known of the upstream is from before its ejection.
        if upstream.endings == 0 || was_ejected {
            upstream.mean = seconds;
        } else {
            upstream.mean += (seconds - upstream.mean) * MEAN_WEIGHT;
        }
        upstream.endings = upstream.endings.saturating_add(1);
        let slow = upstream.mean > median * STRAGGLER_FACTOR && upstream.endings >= MIN_ENDINGS;
        if slow && (was_ejected || may_eject) {
            upstream.ejected = Some(now + FIRST_EJECTION * (1 << upstream.ejections));
            upstream.ejections = (upstream.ejections + 1).min(MAX_DOUBLINGS);
        } else if was_ejected {
            upstream.ejected = None;
            upstream.ejections = 0;
        }
    }

    fn due_probe(&self, now: Moment) -> Option<UpstreamKey> {
        let is_due = |upstream: &Upstream| {
            upstream.running == 0 && upstream.ejected.is_some_and(|probe| now >= probe)
        };
        self.upstreams.iter().find(|(_, upstream)| is_due(upstream)).map(|(key, _)| key)
    }

    /// Upstreams that may be chosen: without the ejected ones, unless no other is left.
    fn open(&self, tried: Option<UpstreamKey>) -> Vec<UpstreamKey> {
        let others = || self.upstreams.iter().filter(|(key, _)| Some(*key) != tried);
        let kept = others().filter(|(_, upstream)| upstream.ejected.is_none());
        let open: Vec<_> = kept.map(|(key, _)| key).collect();
        if open.is_empty() { others().map(|(key, _)| key).collect() } else { open }
    }

    /// Median of the means of upstreams that were used; infinite without any.
    fn median(&self) -> f64 {
        let used = self.upstreams.values().filter(|upstream| upstream.endings > 0);
        let mut means: Vec<_> = used.map(|upstream| upstream.mean).collect();
        means.sort_unstable_by(f64::total_cmp);
        means.get(means.len().saturating_sub(1) / 2).copied().unwrap_or(f64::INFINITY)
    }
}

/// Service time that an ending counts as; `None` if it says nothing of speed.
fn service_time(ending: AttemptOutcome, mean: f64) -> Option<f64> {
    match ending {
        AttemptOutcome::Responded(time) => Some(time.as_secs_f64()),
        AttemptOutcome::Failed => Some(FAILED_TIME.max(mean)),
        AttemptOutcome::Refused | AttemptOutcome::Cold => Some(mean).filter(|mean| *mean > 0.0),
    }
}

/// A number below `end` from a random one; `None` if there is none.
fn draw(random: u64, end: usize) -> Option<usize> {
    let product = u128::from(random) * end as u128;
    (end > 0).then_some((product >> u64::BITS) as usize)
}
