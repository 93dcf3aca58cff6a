//! Counters, gauges and histograms, served as text.

use std::cell::RefCell;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Metric;
use prometheus_client::registry::Registry;

/// Names and values of the labels of one series. Values come from the settings and the configuration, never from
/// keys or requests, so that the number of series is bounded.
pub type Labels = Vec<(&'static str, String)>;

/// Upper bounds of the histogram buckets, from the time of a local response to the longest deadline.
const BUCKET_BOUNDS_SECONDS: [f64; 13] =
    [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0];

type Histograms = Family<Labels, Histogram, fn() -> Histogram>;

/// Metrics of one process; each is registered when it is first used.
#[derive(Default)]
pub struct Metrics {
    inner: RefCell<Inner>,
}

#[derive(Default)]
struct Inner {
    registry: Registry,
    counters: Vec<(&'static str, Family<Labels, Counter>)>,
    gauges: Vec<(&'static str, Family<Labels, Gauge<i64>>)>,
    histograms: Vec<(&'static str, Histograms)>,
}

impl std::fmt::Debug for Metrics {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Metrics {
    /// Adds `count` to a counter.
    pub fn add(&self, name: &'static str, help: &str, labels: &Labels, count: u64) {
        let Inner { registry, counters, .. } = &mut *self.inner.borrow_mut();
        let counter = family(counters, registry, name, help, Family::default);
        counter.get_or_create(labels).inc_by(count);
    }

    /// Sets a gauge.
    pub fn set(&self, name: &'static str, help: &str, labels: &Labels, value: i64) {
        let Inner { registry, gauges, .. } = &mut *self.inner.borrow_mut();
        let gauge = family(gauges, registry, name, help, Family::default);
        gauge.get_or_create(labels).set(value);
    }

    /// Removes all series of a gauge.
    pub fn clear_gauge(&self, name: &'static str) {
        let inner = self.inner.borrow();
        if let Some((_, gauge)) = inner.gauges.iter().find(|(known, _)| *known == name) {
            gauge.clear();
        }
    }

    /// Records a duration in a histogram.
    pub fn observe(&self, name: &'static str, help: &str, labels: &Labels, seconds: f64) {
        let Inner { registry, histograms, .. } = &mut *self.inner.borrow_mut();
        let new = || Histograms::new_with_constructor(|| Histogram::new(BUCKET_BOUNDS_SECONDS));
        let histogram = family(histograms, registry, name, help, new);
        histogram.get_or_create(labels).observe(seconds);
    }

    /// All metrics in the text format of `OpenMetrics`.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a `String` can't fail.
        let _ = encode(&mut text, &self.inner.borrow().registry);
        text
    }
}

/// Returns the family called `name`; registers it if it does not exist.
fn family<'a, F: Clone + Metric>(
    families: &'a mut Vec<(&'static str, F)>,
    registry: &mut Registry,
    name: &'static str,
    help: &str,
    new: impl FnOnce() -> F,
) -> &'a F {
    let index = match families.iter().position(|(known, _)| *known == name) {
        Some(index) => index,
        None => {
            let family = new();
            registry.register(name, help, family.clone());
            families.push((name, family));
            families.len() - 1
        }
    };
    &families[index].1
}
