//! Load by slice.

use std::time::Duration;

use rattanarch_types::Moment;
use rattanarch_types::SliceId;

/// Shortest interval that rates are taken over: long enough for some hundred requests.
const MIN_INTERVAL: Duration = Duration::from_millis(700);

/// Weight of the newest interval in a rate: loads that change within seconds show after two.
const NEW_WEIGHT: f64 = 0.5;

/// Requests a second by slice, as they are offered: what is refused counts as well.
#[derive(Clone, Debug, Default)]
pub struct SliceMeter {
    counts: Vec<u32>,
    rates: Vec<f32>,
    since: Moment,
    /// Whether an interval has passed.
    is_ready: bool,
}

impl SliceMeter {
    /// A meter of `slices` slices that begins at `now`.
    pub fn new(slices: SliceId, now: Moment) -> Self {
        let slices = usize::from(slices);
        Self { counts: vec![0; slices], rates: vec![0.0; slices], since: now, is_ready: false }
    }

    /// Counts a request.
    pub fn count(&mut self, slice: SliceId) {
        if let Some(count) = self.counts.get_mut(usize::from(slice)) {
            *count = count.saturating_add(1);
        }
    }

    /// Ends an interval, if it was long enough.
    pub fn end_interval(&mut self, now: Moment) {
        let time = now.saturating_sub(self.since);
        if time < MIN_INTERVAL {
            return;
        }
        let weight = if self.is_ready { NEW_WEIGHT } else { 1.0 };
        for (count, rate) in self.counts.iter_mut().zip(&mut self.rates) {
            let newest = f64::from(std::mem::take(count)) / time.as_secs_f64();
            *rate += ((newest - f64::from(*rate)) * weight) as f32;
        }
        self.since = now;
        self.is_ready = true;
    }

    /// Requests a second of `slice`.
    pub fn rate(&self, slice: SliceId) -> f64 {
        self.rates.get(usize::from(slice)).copied().map(f64::from).unwrap_or_default()
    }

    /// Requests a second of all slices.
    pub fn total_rate(&self) -> f64 {
        self.rates.iter().copied().map(f64::from).sum()
    }
}
