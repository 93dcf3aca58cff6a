//! What the outcomes of requests say about the rate and concurrency that the upstream can take.

use std::rc::Rc;
use std::time::Duration;

use rattanarch_admission::AttemptOutcome;
use rattanarch_types::Moment;

use crate::process::Shared;
use crate::upstream::UpstreamState;
use crate::upstream::check_if_due;
use crate::upstream::life::LifeKey;

/// Requests a second that a cold upstream gets while the configuration is unknown.
const DEFAULT_COLD_RATE: f64 = 10.0;

/// Multiple of the mean service time that a request must have had before a timeout counts as a failure of the upstream.
const TIMEOUT_RATIO: u32 = 4;

/// Requests a second that the upstream takes while it is cold; infinite without a limit.
pub(crate) fn cold_rate(shared: &Shared) -> f64 {
    let knowledge = shared.knowledge.borrow();
    let spec = knowledge.routes().and_then(|routes| routes.service(&shared.settings.service));
    spec.map_or(DEFAULT_COLD_RATE, |spec| spec.cold_rate)
}

/// Records the outcome of a request sent at `sent` to the life `key` that still holds its slot. An outcome of an earlier
/// life says nothing about the present one.
pub(crate) fn observe(shared: &Rc<Shared>, key: &LifeKey, sent: Moment, outcome: AttemptOutcome) {
    let mut state = shared.upstream.state.borrow_mut();
    if !state.life.as_ref().is_some_and(|life| life.has_key(key)) {
        return;
    }
    state.admission.observe(shared.now(), sent, outcome);
    report_changes(shared, &mut state);
    let suspects_cold = state.admission.suspects_cold();
    drop(state);
    if suspects_cold {
        check_if_due(shared);
    }
}

/// Records that a request which had `allowed` got no response, unless that was too short for the upstream to be at fault.
pub(crate) fn observe_timeout(shared: &Rc<Shared>, key: &LifeKey, sent: Moment, allowed: Duration) {
    let usual = shared.upstream.state.borrow().admission.mean_service_time();
    if allowed >= usual * TIMEOUT_RATIO {
        observe(shared, key, sent, AttemptOutcome::Failed);
    }
}

/// Logs and counts changes of the upstream's pace.
pub(crate) fn report_changes(shared: &Shared, state: &mut UpstreamState) {
    let life = state.life.as_ref().map(|life| life.id.clone()).unwrap_or_default();
    for change in state.admission.take_changes() {
        shared.meters.pace_change(&change);
        log::info!(life:% = life, change:% = change; "upstream pace changed");
    }
}
