//! Utilization of a member over the last seconds.

use std::collections::VecDeque;
use std::time::Duration;

use rattanarch_types::Moment;

/// Times for which a load is examined: a surge that has just begun, a load of some seconds, and a lasting one.
const SPANS: [Duration; 3] =
    [Duration::from_millis(1_500), Duration::from_secs(6), Duration::from_secs(24)];

/// Mean utilization over some time. It is expected to last for about as long again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LastingLoad {
    /// Time over which the utilization is the mean.
    pub span: Duration,
    /// Mean offered load as a part of the capacity.
    pub utilization: f64,
}

/// Utilization of a member over the last seconds.
#[derive(Clone, Debug, Default)]
pub struct LoadHistory {
    /// Ends of intervals and the utilization in them, oldest first. The first one only marks where the second begins.
    samples: VecDeque<(Moment, f64)>,
}

impl LoadHistory {
    /// Adds the utilization of the interval from the last sample to `now`.
    pub fn add(&mut self, now: Moment, utilization: f64) {
        self.samples.push_back((now, utilization));
        let oldest = now.saturating_sub(SPANS[SPANS.len() - 1]);
        while self.samples.get(1).is_some_and(|(end, _)| *end <= oldest) {
            self.samples.pop_front();
        }
    }

    /// Mean utilization over several times up to the last sample, the shortest one first. What precedes the first sample
    /// counts as no load.
    pub fn lasting(&self) -> [LastingLoad; SPANS.len()] {
        SPANS.map(|span| LastingLoad { span, utilization: self.mean(span) })
    }

    fn mean(&self, span: Duration) -> f64 {
        let Some((last, _)) = self.samples.back() else { return 0.0 };
        let start = last.saturating_sub(span);
        let intervals = self.samples.iter().zip(self.samples.iter().skip(1));
        let work: f64 = intervals
            .map(|((begin, _), (end, load))| {
                end.saturating_sub((*begin).max(start)).as_secs_f64() * load
            })
            .sum();
        work / span.as_secs_f64()
    }
}
