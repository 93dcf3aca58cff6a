//! Requests in flight at the upstream, and those that were when a life of it ended.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use rattanarch_quarantine::Fingerprint;
use rattanarch_types::Moment;
use rattanarch_types::ServiceName;
use slab::Slab;

use crate::control;
use crate::process::Shared;
use crate::request::Call;
use crate::upstream::life::LifeKey;

/// How long a request without a response counts as in flight after its exchange has ended: its connection breaks when
/// the upstream ends, and the end shows a moment later.
const UNANSWERED_TIME: Duration = Duration::from_secs(5);

/// Most requests without a response that are kept: several times the slots of an upstream.
const MAX_UNANSWERED: usize = 128;

/// Longest id that is kept for the log: callers choose ids of any length.
const MAX_ID_CHARS: usize = 64;

/// Requests that the upstream has got and not answered.
#[derive(Debug, Default)]
pub(crate) struct InFlight {
    requests: Slab<SentRequest>,
    /// Those whose exchange has ended without a response, the oldest first.
    unanswered: VecDeque<(Moment, LifeKey, CutRequest)>,
}

/// A request that was sent to a life of the upstream.
#[derive(Clone, Debug)]
struct SentRequest {
    call: Rc<Call>,
    life: LifeKey,
    is_trial: bool,
}

/// A request that a life of the upstream had when it ended.
#[derive(Clone, Debug)]
pub(crate) struct CutRequest {
    /// The beginning of its id.
    pub(crate) id: String,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) method: String,
    /// Service of the daemon that received it from its caller.
    pub(crate) origin_service: ServiceName,
    pub(crate) key: Option<u16>,
    /// Whether it ran as a trial.
    pub(crate) is_trial: bool,
}

impl From<&SentRequest> for CutRequest {
    fn from(SentRequest { call, is_trial, .. }: &SentRequest) -> Self {
        Self {
            id: call.id.chars().take(MAX_ID_CHARS).collect(),
            fingerprint: call.fingerprint(),
            method: call.method.as_str().chars().take(MAX_ID_CHARS).collect(),
            origin_service: call.origin_service.clone(),
            key: call.key,
            is_trial: *is_trial,
        }
    }
}

impl InFlight {
    /// Takes the requests that the life `life` had when it ended, of which it has answered none.
    fn take(&mut self, now: Moment, life: &LifeKey) -> Vec<CutRequest> {
        let unanswered = std::mem::take(&mut self.unanswered).into_iter();
        let recent =
            unanswered.filter(|(at, at_life, _)| now < *at + UNANSWERED_TIME && at_life == life);
        let running = self.requests.iter().filter(|(_, request)| request.life == *life);
        let running = running.map(|(_, request)| CutRequest::from(request));
        recent.map(|(_, _, request)| request).chain(running).collect()
    }

    fn add_unanswered(&mut self, now: Moment, request: &SentRequest) {
        if self.unanswered.len() >= MAX_UNANSWERED {
            self.unanswered.pop_front();
        }
        let cut = CutRequest::from(request);
        self.unanswered.push_back((now, request.life.clone(), cut));
    }
}

/// Counts a request as in flight at the upstream until it is dropped.
pub(crate) struct Flight {
    shared: Rc<Shared>,
    key: usize,
    answered: Cell<bool>,
}

impl Flight {
    /// Counts `call`, which is about to be sent to the life `life`.
    pub(crate) fn begin(
        shared: &Rc<Shared>,
        call: &Rc<Call>,
        life: &LifeKey,
        is_trial: bool,
    ) -> Self {
        let request = SentRequest { call: Rc::clone(call), life: life.clone(), is_trial };
        let key = shared.upstream.state.borrow_mut().in_flight.requests.insert(request);
        Self { shared: Rc::clone(shared), key, answered: Cell::new(false) }
    }

    /// Records that the upstream has answered the request, or did not get it.
    pub(crate) fn end(&self) {
        self.answered.set(true);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let now = self.shared.now();
        let in_flight = &mut self.shared.upstream.state.borrow_mut().in_flight;
        let request = in_flight.requests.remove(self.key);
        if !self.answered.get() {
            in_flight.add_unanswered(now, &request);
        }
    }
}

/// Records that the life `life` of the upstream has ended, if that is new, and which requests it had.
pub(crate) fn record_end(shared: &Shared, life: &LifeKey) {
    let mut state = shared.upstream.state.borrow_mut();
    let Some(current) = state.life.as_mut().filter(|current| current.has_key(life)) else { return };
    if std::mem::replace(&mut current.ended, true) {
        return;
    }
    let planned = current.leaving.is_some();
    let requests = state.in_flight.take(shared.now(), life);
    drop(state);
    let kind = if planned { "planned" } else { "crash" };
    shared.meters.upstream_end(kind);
    log::warn!(life:% = life.id, kind:% = kind, requests = requests.len(); "upstream ended");
    for request in &requests {
        log::warn!(life:% = life.id, id:% = request.id, fingerprint:% = request.fingerprint,
            method:% = request.method, origin:% = request.origin_service, key:? = request.key, trial = request.is_trial;
            "request in flight at upstream end");
    }
    if !planned {
        let fingerprints: Vec<_> = requests.iter().map(|request| request.fingerprint).collect();
        let trial = requests.iter().find(|request| request.is_trial);
        let trial = trial.map(|request| request.fingerprint);
        control::record_upstream_end(shared, life, &fingerprints, trial);
    }
}
