//! Recent service of flows that share an upstream.

use std::collections::HashMap;
use std::time::Duration;

use rattanarch_types::FlowId;
use rattanarch_types::Moment;

/// Time constant with which starts are forgotten: some ten service times, so that a burst of one flow counts for as
/// long as its effects on the queue last.
const MEMORY: Duration = Duration::from_secs(1);

/// Most flows that are remembered.
const MAX_FLOWS: usize = 256;

/// Starts below which a flow is forgotten.
const MIN_STARTS: f64 = 0.05;

/// Requests by which a flow may exceed the mean before it is over its share: single requests come at any time.
const TOLERANCE: f64 = 1.0;

/// Starts of requests by flow within the last second. Decides which flows are over their share of one upstream.
///
/// This is designed for an upstream with 5 to 20 slots that serves some hundred requests a second of up to a hundred
/// flows, of which one at a time sends several times its usual rate.
///
/// ```
/// use std::time::Duration;
/// use rattanarch_admission::FlowShares;
///
/// let now = Duration::from_secs(5);
/// let mut shares = FlowShares::default();
/// shares.record_start(now, 7);
/// (0..9).for_each(|_| shares.record_start(now, 8));
/// assert!(shares.is_over(now, 8, 0));
/// assert!(!shares.is_over(now, 7, 0));
/// assert!(shares.is_over(now, 7, 6));
/// ```
#[derive(Clone, Debug, Default)]
pub struct FlowShares {
    /// Starts of each flow, decayed to the time of its last one. At most [`MAX_FLOWS`] entries.
    by_flow: HashMap<FlowId, Starts>,
    /// Starts of all flows.
    total: Starts,
    /// When flows without recent starts were last forgotten: they count as flows that share the upstream.
    pruned: Moment,
}

#[derive(Clone, Copy, Debug, Default)]
struct Starts {
    count: f64,
    updated: Moment,
}

impl Starts {
    fn at(self, now: Moment) -> f64 {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.count * (-elapsed / MEMORY.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Moment) {
        *self = Self { count: self.at(now) + 1.0, updated: now };
    }
}

impl FlowShares {
    /// Records that a request of `flow` has started.
    pub fn record_start(&mut self, now: Moment, flow: FlowId) {
        self.total.add(now);
        self.by_flow.entry(flow).or_default().add(now);
        if self.by_flow.len() > MAX_FLOWS || now >= self.pruned + MEMORY {
            self.pruned = now;
            self.forget(now);
        }
    }

    /// Whether a request of `flow` that has `ahead` waiting requests of its own flow before it is over the flow's share
    /// at `now`.
    pub fn is_over(&self, now: Moment, flow: FlowId, ahead: usize) -> bool {
        let starts = self.by_flow.get(&flow).map_or(0.0, |starts| starts.at(now));
        let others = self.by_flow.len() + usize::from(!self.by_flow.contains_key(&flow));
        let share = self.total.at(now) / others as f64;
        starts + ahead as f64 > share + TOLERANCE
    }

    /// Forgets flows without recent starts, and at least the one with the fewest.
    fn forget(&mut self, now: Moment) {
        self.by_flow.retain(|_, starts| starts.at(now) >= MIN_STARTS);
        if self.by_flow.len() <= MAX_FLOWS {
            return;
        }
        let starts = |entry: &(&FlowId, &Starts)| entry.1.at(now);
        let fewest = self.by_flow.iter().min_by(|a, b| starts(a).total_cmp(&starts(b)));
        if let Some(flow) = fewest.map(|(flow, _)| *flow) {
            self.by_flow.remove(&flow);
        }
    }
}
