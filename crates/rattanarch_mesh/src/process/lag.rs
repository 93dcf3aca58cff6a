//! How late this process runs what is due.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use crate::process::Shared;

/// Time between two looks: a few a second cost next to nothing.
const LOOK: Duration = Duration::from_millis(200);

/// Weight of a new look in the mean: a second or so.
const WEIGHT: f64 = 0.25;

/// Mean delay of what is due. A machine of a tenth of a core may have a fast upstream: it then lacks
/// processor time long before slots, and nothing else shows it.
#[derive(Debug, Default)]
pub(crate) struct Lag(Cell<Duration>);

impl Lag {
    /// The mean delay.
    pub(crate) fn get(&self) -> Duration {
        self.0.get()
    }

    fn note(&self, late: Duration) {
        let mean = self.0.get().as_secs_f64();
        let mean = mean + (late.as_secs_f64() - mean) * WEIGHT;
        self.0.set(Duration::from_secs_f64(mean));
    }
}

/// Measures the lag as long as the process lives.
pub(crate) async fn measure_lag(shared: Rc<Shared>) {
    loop {
        let due = shared.now() + LOOK;
        tokio::time::sleep(LOOK).await;
        shared.lag.note(shared.now().saturating_sub(due));
    }
}
