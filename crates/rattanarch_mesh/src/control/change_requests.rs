//! Petitions of other daemons that this one writes into the record, and its own that others write.

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

/// Path at which a daemon takes petitions.
pub(crate) const CHANGE_REQUEST_PATH: &str = "/rattanarch/petition";

/// Longest time that the answer to a petition may take: a few round trips between busy machines.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest petition and answer, in bytes: all slices of a service, with what the upstream left of each.
const MAX_PETITION: usize = 1 << 20;

/// How long after the start members that the first known record does not show count as alive: longer than a fleet
/// takes to start again after a loss of everything.
const RETURN_TIME: Duration = Duration::from_secs(10);

/// What a daemon asks of another.
#[derive(Debug, Deserialize, Serialize)]
struct Question {
    service: ServiceName,
    petition: ChangeRequest,
}

/// Whether the petition was taken.
#[derive(Debug, Deserialize, Serialize)]
struct Reply {
    taken: bool,
}

/// Asks the member `to`, or with `None` this daemon itself, to write `petition` into the record.
pub(crate) fn ask(shared: &Rc<Shared>, to: Option<BootId>, petition: ChangeRequest) {
    let Some(to) = to else { return take(shared, petition) };
    let knowledge = shared.knowledge.borrow();
    let record = knowledge.record(&shared.settings.service);
    let address = record.and_then(|record| record.members.get(&to)).map(|member| member.caller);
    drop(knowledge);
    let shared = Rc::clone(shared);
    tokio::task::spawn_local(async move {
        let taken = match address {
            Some(address) => ask_daemon(&shared, address, petition).await,
            None => false,
        };
        if !taken {
            step(&shared, Event::Declined { by: to });
        }
    });
}

async fn ask_daemon(shared: &Shared, address: SocketAddr, petition: ChangeRequest) -> bool {
    let service = shared.settings.service.clone();
    let question = Question { service, petition };
    let pool = Rc::clone(&shared.peers.get(address).pool);
    let asked =
        post::<Reply>(shared, (&pool, address), CHANGE_REQUEST_PATH, &question, MAX_PETITION);
    let outcome = match tokio::time::timeout(ANSWER_TIMEOUT, asked).await {
        Ok(Ok(reply)) if reply.taken => "taken".to_owned(),
        Ok(Ok(_)) => "declined".to_owned(),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "no answer in time".to_owned(),
    };
    log::info!(peer:% = address, outcome:% = outcome; "asked to be gathered");
    outcome == "taken"
}

/// Takes a peer's petition, if this daemon is of its service and stays.
pub(crate) async fn answer_change_request(
    shared: &Rc<Shared>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let Some(question) = read_json::<Question>(request, MAX_PETITION).await else {
        return responses::plain(StatusCode::BAD_REQUEST, "malformed petition".to_owned());
    };
    let stays = *shared.phase.borrow() == Phase::Open && shared.knowledge.borrow().records_listed;
    let taken =
        stays && question.service == shared.settings.service && !shared.is_store_unreachable();
    if taken {
        take(shared, question.petition);
    }
    responses::serialized(&Reply { taken })
}

fn take(shared: &Rc<Shared>, petition: ChangeRequest) {
    shared.control.borrow_mut().batcher.add(shared.now(), petition);
}

/// Writes the petitions that are due.
pub(crate) fn gather(shared: &Rc<Shared>) {
    if shared.control.borrow().batcher.is_empty() {
        return;
    }
    let service = &shared.settings.service;
    let knowledge = shared.knowledge.borrow();
    // Without a node nothing is known of whether the service is divided by key, nor gathered for it before it exists.
    let first = || shared.control.borrow().node.as_ref().and_then(|node| node.record().cloned());
    let Some(record) = knowledge.record(service).cloned().or_else(|| first().map(Rc::new)) else {
        return;
    };
    let alive = alive(shared, &record, &knowledge.initial_members(service));
    drop(knowledge);
    let now = shared.now();
    let mut control = shared.control.borrow_mut();
    let control = &mut *control;
    if let Some(draft) = control.batcher.draft(now, &record, &control.barred, &alive) {
        tokio::task::spawn_local(write_batch(Rc::clone(shared), draft));
    }
}

/// Members that are known to be alive while a fleet returns from a loss of everything: those that have joined since
/// this process knows the record.
fn alive(shared: &Shared, record: &Record, initial_members: &BTreeSet<BootId>) -> BTreeSet<BootId> {
    if shared.now() > shared.control.borrow().started + RETURN_TIME {
        return BTreeSet::new();
    }
    record.members.keys().copied().filter(|id| !initial_members.contains(id)).collect()
}
