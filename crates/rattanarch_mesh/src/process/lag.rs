//! Measures how late this process runs tasks that are due.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use crate::process::Shared;

/// Interval of measurements: a few a second cost next to nothing.
const INTERVAL: Duration = Duration::from_millis(200);

/// EWMA weight of a new measurement: the mean spans about a second.
const EWMA_WEIGHT: f64 = 0.25;

/// Mean delay of tasks that are due. A machine with a tenth of a core may have a fast upstream: it then runs out of
/// CPU time long before slots, and no other measurement shows it.
#[derive(Debug, Default)]
pub(crate) struct Lag(Cell<Duration>);

impl Lag {
    /// The mean delay.
    pub(crate) fn get(&self) -> Duration {
        self.0.get()
    }

    fn record(&self, delay: Duration) {
        let mean = self.0.get().as_secs_f64();
        let mean = mean + (delay.as_secs_f64() - mean) * EWMA_WEIGHT;
        self.0.set(Duration::from_secs_f64(mean));
    }
}

/// Measures the lag as long as the process lives.
pub(crate) async fn measure_lag(shared: Rc<Shared>) {
    loop {
        let due = shared.now() + INTERVAL;
        tokio::time::sleep(INTERVAL).await;
        let now = shared.now();
        shared.lag.record(now.saturating_sub(due));
        // At least as often as the admission controller needs it.
        shared.upstream.state.borrow_mut().admission.tick(now);
    }
}
