//! Change requests of other daemons that this one writes into the record, and its own that others write.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use rattanarch_ownership::ChangeRequest;
use rattanarch_ownership::Event;
use rattanarch_types::BootId;
use rattanarch_types::Record;
use rattanarch_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use crate::connection::ResponseBody;
use crate::connection::post;
use crate::connection::read_json;
use crate::control::step;
use crate::process::Phase;
use crate::process::Shared;
use crate::process::write_batch;
use crate::request::responses;

/// Path at which a daemon accepts change requests.
pub(crate) const CHANGE_REQUEST_PATH: &str = "/rattanarch/petition";

/// Timeout of a change request sent to another daemon: a few round trips between busy machines.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum size of a change request and of its response: all slices of a service, with the upstream's handover for
/// each.
const MAX_REQUEST_BYTES: usize = 1 << 20;

/// How long after the start of this process members that are not in the first known record count as alive: longer
/// than a fleet takes to restart after a complete outage.
const FLEET_RESTART_TIME: Duration = Duration::from_secs(10);

/// Body of a change request to another daemon.
#[derive(Debug, Deserialize, Serialize)]
struct DelegatedRequest {
    service: ServiceName,
    petition: ChangeRequest,
}

/// Whether the daemon will write the change.
#[derive(Debug, Deserialize, Serialize)]
struct Reply {
    taken: bool,
}

/// Has the member `to`, or with `None` this daemon itself, write `request` into the record.
pub(crate) fn delegate(shared: &Rc<Shared>, to: Option<BootId>, request: ChangeRequest) {
    let Some(to) = to else { return enqueue(shared, request) };
    let knowledge = shared.knowledge.borrow();
    let record = knowledge.record(&shared.settings.service);
    let address = record.and_then(|record| record.members.get(&to)).map(|member| member.caller);
    drop(knowledge);
    let shared = Rc::clone(shared);
    tokio::task::spawn_local(async move {
        let accepted = match address {
            Some(address) => send_request(&shared, address, request).await,
            None => false,
        };
        if !accepted {
            step(&shared, Event::Declined { by: to });
        }
    });
}

/// Sends `request` to the daemon at `address`; returns whether it will write the change.
async fn send_request(shared: &Shared, address: SocketAddr, request: ChangeRequest) -> bool {
    let service = shared.settings.service.clone();
    let body = DelegatedRequest { service, petition: request };
    let pool = Rc::clone(&shared.peers.get(address).pool);
    let call =
        post::<Reply>(shared, (&pool, address), CHANGE_REQUEST_PATH, &body, MAX_REQUEST_BYTES);
    let outcome = match tokio::time::timeout(RESPONSE_TIMEOUT, call).await {
        Ok(Ok(reply)) if reply.taken => "taken".to_owned(),
        Ok(Ok(_)) => "declined".to_owned(),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "no answer in time".to_owned(),
    };
    log::info!(peer:% = address, outcome:% = outcome; "change request sent to a peer");
    outcome == "taken"
}

/// Accepts a peer's change request, if this daemon is of the same service, is not stopping, and has access to the
/// store.
pub(crate) async fn answer_change_request(
    shared: &Rc<Shared>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let Some(body) = read_json::<DelegatedRequest>(shared, request, MAX_REQUEST_BYTES).await else {
        return responses::plain(StatusCode::BAD_REQUEST, "malformed petition".to_owned());
    };
    let ready =
        *shared.phase.borrow() == Phase::Open && shared.knowledge.borrow().listed_at.is_some();
    let taken = ready && body.service == shared.settings.service && !shared.is_store_unreachable();
    if taken {
        enqueue(shared, body.petition);
    }
    responses::serialized(&Reply { taken })
}

fn enqueue(shared: &Rc<Shared>, request: ChangeRequest) {
    shared.control.borrow_mut().batcher.add(shared.now(), request);
}

/// Writes the queued change requests into the record in one update, if it is due.
pub(crate) fn write_due_requests(shared: &Rc<Shared>) {
    if shared.control.borrow().batcher.is_empty() {
        return;
    }
    let service = &shared.settings.service;
    let knowledge = shared.knowledge.borrow();
    // A service without a stored record has one only in the node, which knows whether the service is divided by key;
    // without a node nothing is written for such a service.
    let initial = || shared.control.borrow().node.as_ref().and_then(|node| node.record().cloned());
    let Some(record) = knowledge.record(service).cloned().or_else(|| initial().map(Rc::new)) else {
        return;
    };
    let alive = recently_joined(shared, &record, &knowledge.initial_members(service));
    drop(knowledge);
    let now = shared.now();
    let mut control = shared.control.borrow_mut();
    let control = &mut *control;
    let mut base = Record::clone(&record);
    control.restore_wait.settle(now, &mut base);
    if let Some(draft) = control.batcher.draft(now, &base, &control.excluded, &alive) {
        tokio::task::spawn_local(write_batch(Rc::clone(shared), draft));
    }
}

/// Members that are known to be alive while a fleet restarts after a complete outage: those that have joined since
/// this process first knew the record. Empty once [`FLEET_RESTART_TIME`] has passed.
fn recently_joined(
    shared: &Shared,
    record: &Record,
    initial_members: &BTreeSet<BootId>,
) -> BTreeSet<BootId> {
    if shared.now() > shared.control.borrow().started + FLEET_RESTART_TIME {
        return BTreeSet::new();
    }
    record.members.keys().copied().filter(|id| !initial_members.contains(id)).collect()
}
