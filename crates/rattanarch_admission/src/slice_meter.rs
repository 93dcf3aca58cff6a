//! Request rates by slice.

use std::time::Duration;

use rattanarch_types::Moment;
use rattanarch_types::SliceId;

/// Shortest interval over which rates are measured: long enough for some hundred requests.
const MIN_INTERVAL: Duration = Duration::from_millis(700);

/// EWMA weight of the newest interval in a rate: a change of load within seconds shows after two intervals.
const RATE_WEIGHT: f64 = 0.5;

/// Time constant of the steady rates: about that for which a load has to last until it can pay for a move.
const STEADY_TIME: Duration = Duration::from_secs(10);

/// Requests a second by slice, as they arrive: refused requests count as well.
#[derive(Clone, Debug, Default)]
pub struct SliceMeter {
    /// Requests of the current interval.
    counts: Vec<u32>,
    rates: Vec<f32>,
    /// Means over about [`STEADY_TIME`], from no load on.
    steady_rates: Vec<f32>,
    /// Start of the current interval.
    since: Moment,
    /// Whether an interval has ended, so that the rates are known.
    has_rates: bool,
}

impl SliceMeter {
    /// A meter of `slices` slices whose first interval starts at `now`.
    pub fn new(slices: SliceId, now: Moment) -> Self {
        let slices = usize::from(slices);
        let rates = vec![0.0; slices];
        let steady_rates = rates.clone();
        Self { counts: vec![0; slices], rates, steady_rates, since: now, has_rates: false }
    }

    /// Counts a request of `slice`.
    pub fn count(&mut self, slice: SliceId) {
        if let Some(count) = self.counts.get_mut(usize::from(slice)) {
            *count = count.saturating_add(1);
        }
    }

    /// Ends the current interval and updates the rates, if it was long enough.
    pub fn end_interval(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.since);
        if elapsed < MIN_INTERVAL {
            return;
        }
        let weight = if self.has_rates { RATE_WEIGHT } else { 1.0 };
        let steady_weight = 1.0 - (-elapsed.div_duration_f64(STEADY_TIME)).exp();
        let rates = self.rates.iter_mut().zip(&mut self.steady_rates);
        for (count, (rate, steady)) in self.counts.iter_mut().zip(rates) {
            let newest = f64::from(std::mem::take(count)) / elapsed.as_secs_f64();
            *rate += ((newest - f64::from(*rate)) * weight) as f32;
            *steady += ((newest - f64::from(*steady)) * steady_weight) as f32;
        }
        self.since = now;
        self.has_rates = true;
    }

    /// Requests a second of `slice`.
    pub fn rate(&self, slice: SliceId) -> f64 {
        self.rates.get(usize::from(slice)).copied().map(f64::from).unwrap_or_default()
    }

    /// Requests a second of `slice` over some ten seconds.
    pub fn steady_rate(&self, slice: SliceId) -> f64 {
        self.steady_rates.get(usize::from(slice)).copied().map(f64::from).unwrap_or_default()
    }

    /// Requests a second of all slices.
    pub fn total_rate(&self) -> f64 {
        self.rates.iter().copied().map(f64::from).sum()
    }
}
