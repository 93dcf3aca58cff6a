//! Waiting for a slot of the upstream.

use std::rc::Rc;
use std::time::Duration;

use rattanarch_admission::PendingRequest;
use rattanarch_routing::ResponseSize;
use rattanarch_types::Moment;
use tokio::sync::oneshot;
use tokio::sync::oneshot::error::TryRecvError;

use crate::process::Shared;
use crate::request::Call;
use crate::request::Decision;
use crate::request::Reason;
use crate::request::Refusal;
use crate::request::RequestTrace;
use crate::upstream::Standing;
use crate::upstream::UpstreamSnapshot;
use crate::upstream::state::Waiter;

/// Part of the time left that a request may wait for its key to arrive: what is left has to do for
/// the work, and a caller that is refused needs time to come back.
const KEY_PATIENCE: f64 = 0.4;

/// Time after an expected change until it is seen here.
const CHANGE_SLACK: Duration = Duration::from_millis(60);

/// Leave to send one request; holds a slot until it is dropped.
pub(crate) struct Permit {
    shared: Rc<Shared>,
    id: String,
    key: Option<u16>,
    began: Moment,
    /// Service time of a request that was answered.
    took: Option<Duration>,
}

impl Permit {
    /// Notes that the upstream has answered.
    pub(crate) fn answered(&mut self) {
        let took = self.shared.now().saturating_sub(self.began);
        self.shared.meters.served(&self.shared.settings.service, took);
        self.took = Some(took);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut state = self.shared.upstream.state.borrow_mut();
        state.admission.finish(self.took);
        state.end(&self.id, self.key);
        drop(state);
        pump(&self.shared);
    }
}

/// Waits until `call` may be sent to the upstream.
///
/// # Errors
/// Why it may not, at once if that is certain; the request has not run then.
pub(crate) async fn admit(
    shared: &Rc<Shared>,
    call: &Call,
    trace: &RequestTrace,
) -> Result<Permit, Refusal> {
    let came = shared.now();
    if let Some(key) = call.key {
        let mut state = shared.upstream.state.borrow_mut();
        let slice = state.slice(key);
        state.meter.count(slice);
    }
    if let Some(refusal) = link_refusal(shared, call) {
        return Err(refusal);
    }
    loop {
        wait_for_key(shared, call, trace).await?;
        let permit = wait_for_slot(shared, call, trace).await?;
        // The key may have gone while the request waited for its slot.
        if standing(shared, call.key) == Standing::Ready {
            let waited = shared.now().saturating_sub(came);
            shared.meters.queued(&call.service, waited);
            trace.add(Decision::Admitted { waited, view: UpstreamSnapshot::of(shared) });
            return Ok(permit);
        }
    }
}

/// The refusal of a call whose large answer would leave this machine too late.
fn link_refusal(shared: &Shared, call: &Call) -> Option<Refusal> {
    if call.size == ResponseSize::Small {
        return None;
    }
    let work = shared.upstream.state.borrow().admission.mean_service_time();
    let retry_after =
        shared.uplink.backlog.borrow().retry_after(shared.now(), work, call.objective)?;
    Some(Refusal::new(Reason::LinkFull, retry_after))
}

fn standing(shared: &Shared, key: Option<u16>) -> Standing {
    if !shared.phase.borrow().admits_to_upstream() {
        return Standing::Never(Reason::Stopping);
    }
    let centre = &shared.settings.data_centre;
    let evacuated = shared.knowledge.borrow().evacuated().since(centre);
    let bounds = shared.bounds.get();
    let beat = shared.settings.heartbeat;
    let state = shared.upstream.state.borrow();
    state.standing(shared.now(), key, evacuated, (&bounds, beat))
}

async fn wait_for_key(
    shared: &Rc<Shared>,
    call: &Call,
    trace: &RequestTrace,
) -> Result<(), Refusal> {
    let came = shared.now();
    let mut queued = false;
    let left = call.deadline.saturating_sub(came);
    let patience = came + left.mul_f64(KEY_PATIENCE);
    loop {
        let changed = shared.state_changed.notified();
        let (reason, next) = match standing(shared, call.key) {
            Standing::Ready => return Ok(()),
            Standing::Never(reason) => return Err(reason.into()),
            Standing::Later(reason, next) => (reason, next),
        };
        let now = shared.now();
        let expected = next + CHANGE_SLACK;
        if expected > patience {
            return Err(Refusal::new(reason, expected.saturating_sub(now)));
        }
        if !std::mem::replace(&mut queued, true) {
            trace.add(Decision::Held { reason, view: UpstreamSnapshot::of(shared) });
        }
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep(expected.saturating_sub(now)) => {}
        }
    }
}

async fn wait_for_slot(
    shared: &Rc<Shared>,
    call: &Call,
    trace: &RequestTrace,
) -> Result<Permit, Refusal> {
    let (waiter, mut waiting) = oneshot::channel();
    offer(shared, call, waiter);
    let decided = match waiting.try_recv() {
        Err(TryRecvError::Empty) => {
            trace.add(Decision::Queued(UpstreamSnapshot::of(shared)));
            waiting.await.ok()
        }
        decided => decided.ok(),
    };
    match decided {
        Some(Ok(mut permit)) => {
            permit.take(call);
            Ok(permit)
        }
        Some(Err(refusal)) => Err(refusal),
        None => Err(Refusal::new(Reason::Overloaded, Duration::from_millis(100))),
    }
}

/// Offers `call` to the gate, which starts or refuses it, or lets it wait.
fn offer(shared: &Rc<Shared>, call: &Call, waiter: Waiter) {
    let (rank, objective, deadline) = (call.rank, call.objective, call.deadline);
    let wish = PendingRequest { rank, objective, deadline, item: waiter };
    let mut state = shared.upstream.state.borrow_mut();
    state.admission.retain(|waiter| !waiter.is_closed());
    let offered = state.admission.offer(shared.now(), wish);
    drop(state);
    if let Some(waiter) = offered.started {
        start(shared, waiter);
    }
    refuse(offered.shed);
    pump(shared);
}

impl Permit {
    /// Notes the request that the slot is for.
    fn take(&mut self, call: &Call) {
        self.id.clone_from(&call.id);
        self.key = call.key;
        self.began = self.shared.now();
        self.shared.upstream.state.borrow_mut().begin(&call.id, call.key, call.retry.get());
    }
}

/// Starts what waits, as far as slots and pace allow.
pub(crate) fn pump(shared: &Rc<Shared>) {
    loop {
        let popped = shared.upstream.state.borrow_mut().admission.start_next(shared.now());
        refuse(popped.shed);
        match popped.next {
            Some(waiter) => start(shared, waiter),
            None => break,
        }
    }
    wake_later(shared);
}

/// Gives the slot that was taken for `waiter` to it, or back if its caller has gone.
fn start(shared: &Rc<Shared>, waiter: Waiter) {
    let began = shared.now();
    let permit =
        Permit { shared: Rc::clone(shared), id: String::new(), key: None, began, took: None };
    // A permit that is not taken gives its slot back when it is dropped.
    let _ = waiter.send(Ok(permit));
}

fn refuse(shed: Vec<rattanarch_admission::ShedRequest<Waiter>>) {
    for shed in shed {
        // A caller that has gone needs no answer.
        let _ = shed.item.send(Err(Refusal::new(Reason::Overloaded, shed.retry_after)));
    }
}

/// Looks again when the pace of a cold upstream allows the next request.
fn wake_later(shared: &Rc<Shared>) {
    let now = shared.now();
    let Some(wake) = shared.upstream.state.borrow().admission.next_start(now) else { return };
    if shared.upstream.timer.replace(true) {
        return;
    }
    let shared = Rc::clone(shared);
    tokio::task::spawn_local(async move {
        tokio::time::sleep(wake.saturating_sub(now)).await;
        shared.upstream.timer.set(false);
        pump(&shared);
    });
}
