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

/// Times up to which a call waits until its key may be served here.
#[derive(Clone, Copy, Debug)]
struct KeyWait {
    end: Moment,
    /// Until when it waits for a record that is known to exist.
    record_end: Moment,
}

impl KeyWait {
    /// The times for `call`, which arrives at `arrived`.
    fn new(shared: &Shared, call: &Call, arrived: Moment) -> Self {
        let left = call.deadline.saturating_sub(arrived);
        let in_time = if shared.settings.cost_based_moves {
            call.objective.saturating_sub(mean_service_time(shared))
        } else {
            arrived
        };
        let end = in_time.max(arrived + left.mul_f64(KEY_WAIT_RATIO));
        Self { end, record_end: end.min(arrived + MAX_RECORD_WAIT) }
    }
}

/// What a call has to do until its key may be served here.
enum KeyStep {
    /// It goes on.
    Ready,
    /// It waits for a change that is visible at `expected`, or for a newer record if it `lacks_record`.
    Held { reason: Reason, expected: Moment, lacks_record: bool },
    /// It does not run here.
    Refused(Refusal),
}

/// Decides what `call` has to do until its key may be served here.
fn key_step(shared: &Shared, call: &Call, wait: KeyWait) -> KeyStep {
    let now = shared.now();
    let (reason, next, lacks_record) = match readiness(shared, call.key) {
        Readiness::Ready => return KeyStep::Ready,
        Readiness::Refused(reason) => {
            if !lacks_record(shared, call, reason) || now >= wait.record_end {
                return KeyStep::Refused(reason.into());
            }
            (reason, wait.record_end.saturating_sub(CHANGE_DELAY), true)
        }
        Readiness::NotYet(reason, next) => (reason, next, false),
    };
    let expected = next + CHANGE_DELAY;
    if expected > wait.end {
        return KeyStep::Refused(Refusal::new(reason, expected.saturating_sub(now)));
    }
    KeyStep::Held { reason, expected, lacks_record }
}

async fn wait_for_key(
    shared: &Rc<Shared>,
    call: &Call,
    trace: &RequestTrace,
) -> Result<(), Refusal> {
    let wait = KeyWait::new(shared, call, shared.now());
    let mut traced = false;
    loop {
        let changed = shared.state_changed.notified();
        let (reason, expected, lacks_record) = match key_step(shared, call, wait) {
            KeyStep::Ready => return Ok(()),
            KeyStep::Refused(refusal) => return Err(refusal),
            KeyStep::Held { reason, expected, lacks_record } => (reason, expected, lacks_record),
        };
        if lacks_record {
            control::refresh_records(shared, &call.service);
        }
        if !std::mem::replace(&mut traced, true) {
            trace.add(Decision::Held { reason, view: UpstreamSnapshot::of(shared) });
        }
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep(expected.saturating_sub(shared.now())) => {}
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
    let mut state = shared.upstream.state.borrow_mut();
    state.admission.retain(|sender| !sender.is_closed());
    let offered = state.admission.offer(shared.now(), pending(call, sender));
    drop(state);
    if let Some(sender) = offered.started {
        start(shared, sender);
    }
    refuse(shared, offered.shed);
    start_waiting(shared);
}

/// `call` as it is offered to the admission controller, which hands back `item`.
fn pending<T>(call: &Call, item: T) -> PendingRequest<T> {
    let (rank, objective, deadline) = (call.rank, call.objective, call.deadline);
    PendingRequest { rank, objective, deadline, flow: call.flow, item }
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

/// Why the admission controller sheds requests now.
fn shed_reason(shared: &Shared) -> Reason {
    let limited = shared.upstream.state.borrow().admission.is_rate_limited();
    if limited { Reason::RateLimited } else { Reason::Overloaded }
}

fn refuse(shared: &Shared, shed: Vec<ShedRequest<PermitSender>>) {
    let reason = shed_reason(shared);
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

/// What would become of a call that were sent to the upstream now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Preview {
    /// It starts at once.
    Starts,
    /// It waits for a slot.
    Waits,
    /// It waits until its key may be served here.
    Held(Reason),
    /// It is refused at once.
    Refused(Refusal),
}

/// Decides as [`admit`] what would become of `call`, without changing any state.
pub(crate) fn preview(shared: &Shared, call: &Call) -> Preview {
    let now = shared.now();
    if let Some(refusal) = uplink_refusal(shared, call) {
        return Preview::Refused(refusal);
    }
    match key_step(shared, call, KeyWait::new(shared, call, now)) {
        KeyStep::Ready => preview_slot(shared, call, now),
        KeyStep::Held { reason, .. } => Preview::Held(reason),
        KeyStep::Refused(refusal) => Preview::Refused(refusal),
    }
}

/// Offers `call` to a copy of the admission controller, in which `true` stands for `call` and `false` for each waiting
/// request, and starts what may start, as [`offer`].
fn preview_slot(shared: &Shared, call: &Call, now: Moment) -> Preview {
    let state = shared.upstream.state.borrow();
    let mut copy = state.admission.copy_with(|sender| (!sender.is_closed()).then_some(false));
    drop(state);
    let offered = copy.offer(now, pending(call, true));
    if offered.started.is_some() {
        return Preview::Starts;
    }
    let mut shed = offered.shed;
    loop {
        if let Some(own) = shed.iter().find(|shed| shed.item) {
            return Preview::Refused(Refusal::new(shed_reason(shared), own.retry_after));
        }
        let popped = copy.start_next(now);
        shed = popped.shed;
        match popped.next {
            Some(true) => return Preview::Starts,
            Some(false) => {}
            None if shed.iter().any(|shed| shed.item) => {}
            None => return Preview::Waits,
        }
    }
}
