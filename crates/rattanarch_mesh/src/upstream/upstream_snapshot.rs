//! Snapshot of the state that decides on requests at the upstream.

use std::time::Duration;

use derive_more::Display;
use rattanarch_admission::PaceState;
use rattanarch_types::Version;

use crate::process::Shared;

/// State that decided on a request at the upstream, at one moment; printed in the trace of the request.
#[derive(Clone, Debug, Display)]
#[display(
    "life {life} heard {}ms ago, lease {}ms, record {record}, {running} of {slots} slots, \
     {waiting} waiting, mean {}ms, {pace}, {concurrency} at once",
    heard.as_millis(), lease.as_millis(), mean.as_millis()
)]
pub(crate) struct UpstreamSnapshot {
    life: String,
    /// Age of its last heartbeat.
    heard: Duration,
    /// Time left of the daemon's lease.
    lease: Duration,
    record: Version,
    pub(crate) running: u32,
    pub(crate) slots: u32,
    pub(crate) waiting: u32,
    /// Mean service time.
    pub(crate) mean: Duration,
    pub(crate) pace: PaceState,
    /// Requests that may run at once now.
    pub(crate) concurrency: u32,
}

impl UpstreamSnapshot {
    /// Takes a snapshot of the present state.
    pub(crate) fn of(shared: &Shared) -> Self {
        let now = shared.now();
        let state = shared.upstream.state.borrow();
        let life = state.life.as_ref();
        let forecast = state.admission.forecast(now);
        Self {
            life: life.map_or_else(|| "none".to_owned(), |life| life.id.clone()),
            heard: life.map(|life| now.saturating_sub(life.last_heartbeat)).unwrap_or_default(),
            lease: state
                .serving
                .lease_end
                .map(|until| until.saturating_sub(now))
                .unwrap_or_default(),
            record: state.serving.record.version,
            running: state.admission.running(),
            slots: state.admission.slots(),
            waiting: state.admission.waiting(),
            mean: state.admission.mean_service_time(),
            pace: forecast.state,
            concurrency: forecast.concurrency,
        }
    }
}
