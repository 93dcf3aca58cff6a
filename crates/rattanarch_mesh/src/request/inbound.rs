//! Handler of requests from other daemons.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use rattanarch_adapter::headers;
use rattanarch_types::Verdict;

use crate::connection::Handler;
use crate::connection::HeldBody;
use crate::connection::Listener;
use crate::connection::ReadError;
use crate::connection::ResponseBody;
use crate::control;
use crate::process;
use crate::process::Shared;
use crate::request::Call;
use crate::request::Outcome;
use crate::request::Reason;
use crate::request::call::CachedFingerprint;
use crate::request::call::strip_connection_headers;
use crate::request::forward_headers::FLOW;
use crate::request::forward_headers::FORWARD;
use crate::request::forward_headers::ForwardHeader;
use crate::request::forward_headers::LoadHeader;
use crate::request::forward_headers::ResponseHeaders;
use crate::request::request_trace::RequestTrace;
use crate::request::responses;
use crate::upstream;
use crate::upstream::FromLeaving;
use crate::upstream::LeavingSource;

/// Longest time that a forwarded request may have left, above the timeouts of known routes: its body is held for as long.
const MAX_FORWARDED_TIME: Duration = Duration::from_secs(120);

/// Handles forwarded requests and control requests of other daemons.
pub(crate) struct Inbound(pub(crate) Rc<Shared>);

impl Handler for Inbound {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let shared = &self.0;
        if !request.headers().contains_key(FORWARD) {
            match request.uri().path() {
                control::STATE_PATH => return control::answer_state_fetch(shared, request).await,
                control::CHANGE_REQUEST_PATH => {
                    return control::answer_change_request(shared, request).await;
                }
                process::STORE_PATH => return process::answer_store_call(shared, request).await,
                _ => {}
            }
        }
        let _active = shared.active_requests.begin();
        let Some(header) = ForwardHeader::read(request.headers()) else {
            return responses::plain(StatusCode::BAD_REQUEST, "no forwarded request".to_owned());
        };
        if let Some(notice) = &header.leaving {
            let since = shared.now().saturating_sub(notice.age);
            upstream::learn_leaving(shared, &notice.life, since, LeavingSource::Peer);
        }
        let outcome = match read(shared, header, request).await {
            Ok(call) => run(shared, &Rc::new(call)).await,
            Err(ReadError::NoRoom | ReadError::Stalled) => {
                Outcome::Refused(Reason::BuffersFull.into())
            }
            Err(error @ (ReadError::Cut | ReadError::TooLong)) => {
                return responses::plain(StatusCode::BAD_REQUEST, error.to_string());
            }
        };
        respond(shared, outcome)
    }
}

async fn read(
    shared: &Shared,
    header: ForwardHeader,
    request: Request<Incoming>,
) -> Result<Call, ReadError> {
    let now = shared.now();
    let (mut parts, body) = request.into_parts();
    let limits = shared.knowledge.borrow().routes().map(|routes| routes.limits);
    let limit = limits.unwrap_or_default().max_body_bytes;
    let body = HeldBody::read((&shared.held, Listener::Peers), body, limit).await?;
    strip_connection_headers(&mut parts.headers);
    parts.headers.remove(FORWARD);
    let flow = parts.headers.remove(FLOW).and_then(|value| value.to_str().ok()?.parse().ok());
    let id = headers::caller_request_id(&parts.headers).and_then(|id| id.to_str().ok());
    Ok(Call {
        id: id.unwrap_or_default().to_owned(),
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        service: header.service,
        origin_service: header.origin_service,
        rank: header.rank,
        idempotent: header.idempotent,
        objective: now + header.objective.min(MAX_FORWARDED_TIME),
        deadline: now + header.left.min(MAX_FORWARDED_TIME),
        key: header.key,
        version: header.version,
        flow,
        size: header.size,
        retry: Cell::new(header.retry),
        fingerprint: CachedFingerprint::default(),
    })
}

async fn run(shared: &Rc<Shared>, call: &Rc<Call>) -> Outcome {
    let trace = RequestTrace::new(shared, &call.id, "forwarded");
    trace.set_service(&call.service);
    let outcome = upstream::run(shared, call, &trace).await;
    trace.finish(&outcome);
    outcome
}

fn respond(shared: &Shared, outcome: Outcome) -> Response<ResponseBody> {
    let (mut response, verdict, reason, by_upstream) = match outcome {
        Outcome::Answered(response) => (response, Verdict::Done, String::new(), false),
        Outcome::Refused(refusal) => {
            let reason = refusal.reason.to_string();
            let response = responses::refused(refusal, shared.settings.retry_schedule);
            (response, Verdict::NotRun, reason, refusal.by_upstream)
        }
        Outcome::Failed(failure) => {
            (responses::failed(&failure), Verdict::MayHaveRun, failure.to_string(), false)
        }
    };
    let leaving = response.extensions().get::<FromLeaving>().map(|mark| mark.0.to_string());
    let load = Some(load_header(shared));
    let meta = ResponseHeaders { verdict, reason, by_upstream, load, leaving };
    meta.write(response.headers_mut());
    response
}

fn load_header(shared: &Shared) -> LoadHeader {
    let now = shared.now();
    let state = shared.upstream.state.borrow();
    let interval = shared.settings.heartbeat;
    let next_heartbeat = state.life.as_ref().map(|life| life.next_heartbeat(now, interval));
    LoadHeader {
        running: state.admission.running(),
        waiting: state.admission.waiting(),
        slots: state.admission.slots(),
        mean_time: state.admission.mean_service_time(),
        cold: state.admission.is_cold(now),
        used_percent: (state.utilization() * 100.0) as u32,
        send_time: shared.uplink.backlog.borrow().expected_time(now),
        lag: shared.lag.get(),
        limit_interval: state.admission.limit_interval(),
        next_heartbeat: next_heartbeat.unwrap_or_default(),
        concurrency: state.admission.forecast(now).concurrency,
    }
}
