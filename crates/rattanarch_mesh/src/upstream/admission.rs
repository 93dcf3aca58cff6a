//! Admission of requests to the upstream's slots.

use std::rc::Rc;
use std::time::Duration;

use rattanarch_admission::PendingRequest;
use rattanarch_admission::RetrySchedule;
use rattanarch_admission::ShedRequest;
use rattanarch_admission::WorkClass;
use rattanarch_dissemination::MAX_RECORD_WAIT;
use rattanarch_routing::ResponseSize;
use rattanarch_types::Moment;
use tokio::sync::oneshot;
use tokio::sync::oneshot::error::TryRecvError;

use crate::control;
use crate::process::Shared;
use crate::request::Call;
use crate::request::Decision;
use crate::request::Reason;
use crate::request::Refusal;
use crate::request::RequestTrace;
use crate::upstream::Readiness;
use crate::upstream::UpstreamSnapshot;
use crate::upstream::health_check::awaits_first_response;
use crate::upstream::state::PermitSender;

/// Ratio of the time to its deadline that a request may wait until its key is served here, if it can't meet its objective:
/// the rest has to suffice for the work, and a refused caller needs time to retry.
const KEY_WAIT_RATIO: f64 = 0.4;

/// Delay after which an expected change is visible here.
const CHANGE_DELAY: Duration = Duration::from_millis(60);

/// Permission to send one request to the upstream; holds a slot until it is dropped.
pub(crate) struct Permit {
    shared: Rc<Shared>,
    id: String,
    key: Option<u16>,
    /// Class of the request; `None` until one is assigned.
    class: Option<WorkClass>,
    started_at: Moment,
    /// Service time; `None` while there is no response.
    service_time: Option<Duration>,
}

impl Permit {
    /// When the request was admitted.
    pub(crate) fn started_at(&self) -> Moment {
        self.started_at
    }

    /// Records that the upstream has responded; returns its service time.
    pub(crate) fn record_response(&mut self) -> Duration {
        let service_time = self.shared.now().saturating_sub(self.started_at);
        self.shared.meters.served(&self.shared.settings.service, service_time);
        self.service_time = Some(service_time);
        service_time
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut state = self.shared.upstream.state.borrow_mut();
        match self.class {
            Some(class) => state.admission.finish_class(now, class, self.service_time),
            None => state.admission.finish(self.service_time),
        }
        state.end_request(now, &self.id, self.key);
        drop(state);
        start_waiting(&self.shared);
    }
}

/// Waits until `call` may be sent to the upstream.
///
/// # Errors
/// A refusal, at once if waiting can't help; the request hasn't run then.
pub(crate) async fn admit(
    shared: &Rc<Shared>,
    call: &Call,
    trace: &RequestTrace,
) -> Result<Permit, Refusal> {
    let arrived = shared.now();
    if let Some(key) = call.key {
        let mut state = shared.upstream.state.borrow_mut();
        let slice = state.slice(key);
        state.meter.count(slice);
    }
    if let Some(refusal) = uplink_refusal(shared, call) {
        return Err(refusal);
    }
    loop {
        wait_for_key(shared, call, trace).await?;
        let permit = wait_for_slot(shared, call, trace).await?;
        // The key may have moved while the request waited for its slot.
        if readiness(shared, call.key) == Readiness::Ready {
            let waited = shared.now().saturating_sub(arrived);
            shared.meters.queued(&call.service, waited);
            shared.meters.admitted(call.retry.get(), !waited.is_zero());
            trace.add(Decision::Admitted { waited, view: UpstreamSnapshot::of(shared) });
            return Ok(permit);
        }
    }
}

/// Refuses a call whose large response would miss its objective on this machine's uplink.
fn uplink_refusal(shared: &Shared, call: &Call) -> Option<Refusal> {
    if call.size == ResponseSize::Small {
        return None;
    }
    let service_time = shared.upstream.state.borrow().admission.mean_service_time();
    let retry_after =
        shared.uplink.backlog.borrow().retry_after(shared.now(), service_time, call.objective)?;
    Some(Refusal::new(Reason::LinkFull, retry_after))
}

fn readiness(shared: &Shared, key: Option<u16>) -> Readiness {
    if !shared.phase.borrow().admits_to_upstream() {
        return Readiness::Refused(Reason::Stopping);
    }
    let now = shared.now();
    if awaits_first_response(shared) {
        return Readiness::NotYet(Reason::NoUpstream, now);
    }
    let centre = &shared.settings.data_centre;
    let evacuated = shared.knowledge.borrow().evacuated().since(centre);
    let bounds = shared.bounds.get();
    let beat = shared.settings.heartbeat;
    let state = shared.upstream.state.borrow();
    state.readiness(now, key, evacuated, (&bounds, beat))
}

async fn wait_for_key(
    shared: &Rc<Shared>,
    call: &Call,
    trace: &RequestTrace,
) -> Result<(), Refusal> {
    let arrived = shared.now();
    let mut traced = false;
    let left = call.deadline.saturating_sub(arrived);
    let in_time = if shared.settings.cost_based_moves {
        call.objective.saturating_sub(mean_service_time(shared))
    } else {
        arrived
    };
    let wait_end = in_time.max(arrived + left.mul_f64(KEY_WAIT_RATIO));
    let record_end = wait_end.min(arrived + MAX_RECORD_WAIT);
    loop {
        let changed = shared.state_changed.notified();
        let (reason, next) = match readiness(shared, call.key) {
            Readiness::Ready => return Ok(()),
            Readiness::Refused(reason) => {
                if !lacks_record(shared, call, reason) || shared.now() >= record_end {
                    return Err(reason.into());
                }
                control::refresh_records(shared, &call.service);
                (reason, record_end.saturating_sub(CHANGE_DELAY))
            }
            Readiness::NotYet(reason, next) => (reason, next),
        };
        let now = shared.now();
        let expected = next + CHANGE_DELAY;
        if expected > wait_end {
            return Err(Refusal::new(reason, expected.saturating_sub(now)));
        }
        if !std::mem::replace(&mut traced, true) {
            trace.add(Decision::Held { reason, view: UpstreamSnapshot::of(shared) });
        }
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep(expected.saturating_sub(now)) => {}
        }
    }
}

/// Whether `call` was refused for `reason` by an older record than the one by which its sender chose this daemon.
fn lacks_record(shared: &Shared, call: &Call, reason: Reason) -> bool {
    let by_record =
        matches!(reason, Reason::NotOwner | Reason::Unowned) && shared.settings.cost_based_moves;
    by_record && shared.upstream.state.borrow().serving.record.version < call.version
}

fn mean_service_time(shared: &Shared) -> Duration {
    shared.upstream.state.borrow().admission.mean_service_time()
}

async fn wait_for_slot(
    shared: &Rc<Shared>,
    call: &Call,
    trace: &RequestTrace,
) -> Result<Permit, Refusal> {
    let (sender, mut receiver) = oneshot::channel();
    offer(shared, call, sender);
    let result = match receiver.try_recv() {
        Err(TryRecvError::Empty) => {
            trace.add(Decision::Queued(UpstreamSnapshot::of(shared)));
            receiver.await.ok()
        }
        result => result.ok(),
    };
    match result {
        Some(Ok(mut permit)) => {
            permit.assign(call);
            Ok(permit)
        }
        Some(Err(refusal)) => Err(refusal),
        None => Err(Refusal::new(Reason::Overloaded, Duration::from_millis(100))),
    }
}

/// Offers `call` to the admission controller, which starts, queues or refuses it.
fn offer(shared: &Rc<Shared>, call: &Call, sender: PermitSender) {
    let (rank, objective, deadline) = (call.rank, call.objective, call.deadline);
    let pending = PendingRequest { rank, objective, deadline, flow: call.flow, item: sender };
    let mut state = shared.upstream.state.borrow_mut();
    state.admission.retain(|sender| !sender.is_closed());
    let offered = state.admission.offer(shared.now(), pending);
    drop(state);
    if let Some(sender) = offered.started {
        start(shared, sender);
    }
    refuse(shared, offered.shed);
    start_waiting(shared);
}

impl Permit {
    /// Assigns the slot to `call`, which starts to run.
    fn assign(&mut self, call: &Call) {
        self.id.clone_from(&call.id);
        self.key = call.key;
        self.class = Some(WorkClass::new(call.rank, call.objective, call.deadline));
        self.started_at = self.shared.now();
        self.shared.upstream.state.borrow_mut().start_request(&call.id, call.key, call.retry.get());
    }
}

/// Starts waiting requests, as far as free slots and the rate limit of the upstream allow.
pub(crate) fn start_waiting(shared: &Rc<Shared>) {
    loop {
        let popped = shared.upstream.state.borrow_mut().admission.start_next(shared.now());
        refuse(shared, popped.shed);
        match popped.next {
            Some(sender) => start(shared, sender),
            None => break,
        }
    }
    schedule_next_start(shared);
}

/// Sends a permit to a request for which a slot was taken. The slot is freed if its caller has gone.
fn start(shared: &Rc<Shared>, sender: PermitSender) {
    let started_at = shared.now();
    let permit = Permit {
        shared: Rc::clone(shared),
        id: String::new(),
        key: None,
        class: None,
        started_at,
        service_time: None,
    };
    // A permit that can't be delivered frees its slot when it is dropped.
    let _ = sender.send(Ok(permit));
}

fn refuse(shared: &Shared, shed: Vec<ShedRequest<PermitSender>>) {
    let limited = shared.upstream.state.borrow().admission.is_rate_limited();
    let reason = if limited { Reason::RateLimited } else { Reason::Overloaded };
    let now = shared.now();
    for shed in shed {
        if shared.settings.retry_schedule {
            let left = shed.deadline.saturating_sub(now);
            shared.meters.scheduled(RetrySchedule::is_honoured(shed.retry_after, left));
        }
        // A caller that has gone needs no response.
        let _ = shed.item.send(Err(Refusal::new(reason, shed.retry_after)));
    }
}

/// Longest time until waiting requests are looked at again: the rate limit may change, and requests expire.
const MAX_PACE_DELAY: Duration = Duration::from_millis(250);

/// Sets a timer for the next request that the rate limit of the upstream allows.
fn schedule_next_start(shared: &Rc<Shared>) {
    let now = shared.now();
    let Some(next_start) = shared.upstream.state.borrow().admission.next_start() else { return };
    if shared.upstream.pace_timer.replace(true) {
        return;
    }
    let shared = Rc::clone(shared);
    tokio::task::spawn_local(async move {
        tokio::time::sleep(next_start.saturating_sub(now).min(MAX_PACE_DELAY)).await;
        shared.upstream.pace_timer.set(false);
        start_waiting(&shared);
    });
}
