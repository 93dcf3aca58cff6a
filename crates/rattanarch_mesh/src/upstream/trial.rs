//! Trial runs of requests in quarantine.

use std::rc::Rc;

use rattanarch_quarantine::Verdict;

use crate::control;
use crate::process::Shared;
use crate::request::Call;
use crate::request::Reason;
use crate::request::Refusal;
use crate::request::quarantine;

/// Part of the time to its deadline that a request waits while a trial runs.
const TRIAL_WAIT_RATIO: f64 = 0.4;

/// The only trial at the upstream, until it is dropped.
pub(crate) struct Trial(Rc<Shared>);

impl Drop for Trial {
    fn drop(&mut self) {
        self.0.upstream.trial.set(false);
        self.0.state_changed.notify_waiters();
    }
}

/// Begins the trial of `call` if it needs one, after waiting for another trial if need be.
///
/// # Errors
/// A refusal if it may not run here now; it hasn't run then.
pub(crate) async fn begin_trial(
    shared: &Rc<Shared>,
    call: &Call,
) -> Result<Option<Trial>, Refusal> {
    let left = call.deadline.saturating_sub(shared.now());
    let wait_end = shared.now() + left.mul_f64(TRIAL_WAIT_RATIO);
    loop {
        let changed = shared.state_changed.notified();
        match quarantine::check(shared, call) {
            Verdict::Free => return Ok(None),
            Verdict::Quarantined(left) => return Err(Refusal::new(Reason::Quarantined, left)),
            Verdict::Trial if !is_trial_instance(shared, call) => {
                return Err(Reason::Quarantined.into());
            }
            Verdict::Trial => {}
        }
        if !shared.upstream.trial.get() {
            shared.upstream.trial.set(true);
            return Ok(Some(Trial(Rc::clone(shared))));
        }
        let wait = wait_end.saturating_sub(shared.now());
        if tokio::time::timeout(wait, changed).await.is_err() {
            return Err(Reason::Quarantined.into());
        }
    }
}

/// Checks once more, right before `call` is sent, whether it may run.
pub(crate) fn check_before_send(
    shared: &Shared,
    call: &Call,
    trial: Option<&Trial>,
) -> Result<(), Refusal> {
    match quarantine::check(shared, call) {
        Verdict::Free => Ok(()),
        Verdict::Trial if trial.is_some() => {
            log::info!(id:% = call.id, fingerprint:% = call.fingerprint();
                "trial of a quarantined request");
            Ok(())
        }
        Verdict::Trial => Err(Reason::Quarantined.into()),
        Verdict::Quarantined(left) => Err(Refusal::new(Reason::Quarantined, left)),
    }
}

/// Records that the upstream has answered `call`.
pub(crate) fn record_answer(shared: &Shared, call: &Call) {
    let is_suspect = {
        let quarantine = shared.quarantine.borrow();
        !quarantine.is_empty() && quarantine.has_head(call.fingerprint_head())
    };
    if is_suspect {
        control::record_answer(shared, &call.fingerprint());
    }
}

/// Whether a trial of `call` may run at this daemon's upstream: the owner of its key, or the member that all daemons choose.
fn is_trial_instance(shared: &Shared, call: &Call) -> bool {
    if call.key.is_some() {
        return true;
    }
    let record = shared.knowledge.borrow().record(&call.service).cloned();
    let member =
        record.and_then(|record| quarantine::trial_member(shared, &record, call).map(|(id, _)| id));
    let own = shared.control.borrow().node.as_ref().map(|node| node.me());
    member.is_some() && member == own
}
