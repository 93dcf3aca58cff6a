//! Exchange of one request and its response with the upstream.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use rattanarch_adapter::headers;
use rattanarch_adapter::headers::RateNotice;
use rattanarch_adapter::headers::ResponseHead;
use rattanarch_adapter::headers::UpstreamHeaders;
use rattanarch_admission::AttemptOutcome;

use crate::connection::BufferError;
use crate::connection::Checkout;
use crate::connection::PooledConnection;
use crate::connection::RequestBody;
use crate::connection::ResponseBody;
use crate::connection::SendError;
use crate::connection::within;
use crate::process::Shared;
use crate::request::Call;
use crate::request::Decision;
use crate::request::Failure;
use crate::request::Outcome;
use crate::request::Reason;
use crate::request::Refusal;
use crate::request::RequestTrace;
use crate::request::strip_connection_headers;
use crate::upstream::Permit;
use crate::upstream::Preview;
use crate::upstream::UpstreamSnapshot;
use crate::upstream::admission;
use crate::upstream::admit;
use crate::upstream::bytes_slot::BytesSlot;
use crate::upstream::bytes_slot::wait_for_bytes;
use crate::upstream::end_check::check_for_end;
use crate::upstream::end_check::record_connection_refused;
use crate::upstream::in_flight::Flight;
use crate::upstream::life::LifeKey;
use crate::upstream::notices::FromLeaving;
use crate::upstream::notices::apply_notices;
use crate::upstream::pace;
use crate::upstream::trial::Trial;
use crate::upstream::trial::begin_trial;
use crate::upstream::trial::check_before_send;
use crate::upstream::trial::record_answer;

/// Shortest time to the deadline with which a request is sent.
const MIN_SEND_TIME: Duration = Duration::from_millis(5);

/// Runs `call` at the upstream on this machine, once it is admitted.
///
/// Dropping the future, as when the caller has gone, cancels an idempotent request. Any other request runs on, so that
/// its effects happen once and in full.
pub(crate) async fn run(shared: &Rc<Shared>, call: &Rc<Call>, trace: &RequestTrace) -> Outcome {
    if let Some(refusal) = other_service(shared, call) {
        return Outcome::Refused(refusal);
    }
    let (permit, claim) = match claim(shared, call, trace).await {
        Ok(admitted) => admitted,
        Err(Refusal { reason, retry_after, by_upstream }) => {
            trace.add(Decision::Refused {
                reason,
                retry_after,
                view: UpstreamSnapshot::of(shared),
            });
            return Outcome::Refused(Refusal { reason, retry_after, by_upstream });
        }
    };
    let exchange = send(Rc::clone(shared), Rc::clone(call), permit, claim);
    if call.idempotent {
        return exchange.await;
    }
    match tokio::task::spawn_local(exchange).await {
        Ok(outcome) => outcome,
        Err(error) => Outcome::Failed(Failure::Cut(error.to_string())),
    }
}

/// What a call holds beside its slot until its end.
struct Claim {
    trial: Option<Trial>,
    _bytes: BytesSlot,
}

/// Waits until `call` may be sent to the upstream.
async fn claim(
    shared: &Rc<Shared>,
    call: &Call,
    trace: &RequestTrace,
) -> Result<(Permit, Claim), Refusal> {
    let trial = begin_trial(shared, call).await?;
    let bytes = wait_for_bytes(shared, call).await?;
    let permit = admit(shared, call, trace).await?;
    Ok((permit, Claim { trial, _bytes: bytes }))
}

/// Refuses a call to another service than that of the upstream.
fn other_service(shared: &Shared, call: &Call) -> Option<Refusal> {
    // A daemon of another service had this address before and may still be in that service's record.
    (call.service != shared.settings.service).then(|| Reason::OtherService.into())
}

/// Decides as [`run`] what would become of `call` at the upstream, as far as its admission; changes no state.
pub(crate) fn preview(shared: &Shared, call: &Call) -> Preview {
    match other_service(shared, call) {
        Some(refusal) => Preview::Refused(refusal),
        None => admission::preview(shared, call),
    }
}

async fn send(shared: Rc<Shared>, call: Rc<Call>, mut permit: Permit, claim: Claim) -> Outcome {
    let mut connection = match checkout(&shared, &call).await {
        Ok(connection) => connection,
        Err(refusal) => return Outcome::Refused(refusal),
    };
    let now = shared.now();
    let left = call.deadline.saturating_sub(now);
    // The connection may have taken the time that the work needs.
    let can_end = {
        let state = shared.upstream.state.borrow();
        state.admission.running() == 1 || state.admission.can_end(now, call.deadline)
    };
    if left < MIN_SEND_TIME || !can_end {
        return Outcome::Refused(Refusal::new(Reason::Overloaded, Duration::ZERO));
    }
    // An end may have become known while the call waited.
    if let Err(refusal) = check_before_send(&shared, &call, claim.trial.as_ref()) {
        return Outcome::Refused(refusal);
    }
    let Some((request, life)) = build_request(&shared, &call, left) else {
        return Outcome::Refused(Refusal::from(Reason::NoUpstream));
    };
    let reused = connection.is_reused();
    let flight = Flight::begin(&shared, &call, &life, claim.trial.is_some());
    let sent = within(left, connection.send(request)).await;
    let response = match sent {
        None => {
            pace::observe_timeout(&shared, &life, permit.started_at(), left);
            return Outcome::Failed(Failure::TimedOut);
        }
        Some(Ok(response)) => response,
        Some(Err(SendError::Unsent(_))) => {
            flight.end();
            return Outcome::Refused(Refusal::new(Reason::NoUpstream, Duration::from_millis(20)));
        }
        Some(Err(SendError::Broken(reason))) => {
            check_for_end(&shared);
            // A reused connection may have been closed for being idle.
            if reused {
                shared.upstream.pool.clear();
            } else {
                pace::observe(&shared, &life, permit.started_at(), AttemptOutcome::Failed);
            }
            return Outcome::Failed(Failure::Cut(reason));
        }
    };
    let sent = SentCall { call: &call, life };
    let outcome = read_response(&shared, &sent, (response, connection), &mut permit).await;
    if matches!(outcome, Outcome::Answered(_) | Outcome::Refused(_)) {
        flight.end();
    }
    if matches!(outcome, Outcome::Answered(_)) {
        record_answer(&shared, &call);
    }
    outcome
}

async fn checkout(shared: &Shared, call: &Call) -> Result<PooledConnection, Refusal> {
    // On a reused connection a late response to an earlier request may arrive first. A request that must not run twice
    // couldn't be retried then.
    let checkout = if call.idempotent { Checkout::Reuse } else { Checkout::Fresh };
    shared.upstream.pool.checkout(checkout).await.map_err(|error| {
        if error.kind() == io::ErrorKind::ConnectionRefused {
            record_connection_refused(shared);
        }
        log::warn!(id:% = call.id, reason:% = error; "upstream connection failed");
        Refusal::from(Reason::NoUpstream)
    })
}

/// A call and the life of the upstream that it was sent to.
struct SentCall<'a> {
    call: &'a Call,
    life: LifeKey,
}

/// Builds the request to the upstream's present life, if there is one.
fn build_request(
    shared: &Shared,
    call: &Call,
    left: Duration,
) -> Option<(Request<RequestBody>, LifeKey)> {
    let state = shared.upstream.state.borrow();
    let life = state.life.as_ref()?;
    let mut request = Request::new(call.body.to_request());
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    UpstreamHeaders { life: &life.id, origin_service: &call.origin_service, wait_time: left }
        .apply(request.headers_mut());
    Some((request, life.key()))
}

async fn read_response(
    shared: &Rc<Shared>,
    SentCall { call, life }: &SentCall<'_>,
    (response, connection): (Response<Incoming>, PooledConnection),
    permit: &mut Permit,
) -> Outcome {
    let (mut parts, body) = response.into_parts();
    let head = ResponseHead::read(parts.status.as_u16(), &parts.headers);
    // Upgrades are never asked for, so that 101 is no final response.
    if parts.status.is_informational() {
        log::warn!(id:% = call.id, life:% = life.id, status = parts.status.as_u16();
            "upstream response has no final status");
        return Outcome::Failed(Failure::Spoilt);
    }
    if !is_response_to(&parts.headers, call) {
        shared.upstream.pool.clear();
        return Outcome::Failed(Failure::Crossed);
    }
    apply_notices(shared, life, &head);
    let left = call.deadline.saturating_sub(shared.now());
    let (body, guard) = match within(left, shared.buffers.read(body, &shared.held)).await {
        None => {
            pace::observe_timeout(shared, life, permit.started_at(), left);
            return Outcome::Failed(Failure::TimedOut);
        }
        Some(Err(error)) => {
            if matches!(error, BufferError::Broken(_)) {
                check_for_end(shared);
                pace::observe(shared, life, permit.started_at(), AttemptOutcome::Failed);
            } else {
                log::warn!(id:% = call.id, life:% = life.id, reason:% = error;
                    "upstream response too large");
            }
            return Outcome::Failed(Failure::Cut(error.to_string()));
        }
        Some(Ok(read)) => read,
    };
    shared.upstream.pool.put_back(connection);
    if head.not_run {
        if is_overload(parts.status, &head) {
            pace::observe(shared, life, permit.started_at(), AttemptOutcome::Refused);
        }
        return Outcome::Refused(upstream_refusal(shared, call, &head));
    }
    let malformed = parts.headers.contains_key(header::CONTENT_ENCODING);
    if malformed || parts.status.is_success() && !head.from_upstream {
        return Outcome::Failed(Failure::Spoilt);
    }
    let service_time = permit.record_response();
    pace::observe(shared, life, permit.started_at(), AttemptOutcome::Responded(service_time));
    strip_connection_headers(&mut parts.headers);
    parts.headers.remove(header::CONTENT_LENGTH);
    if head.leaving {
        parts.extensions.insert(FromLeaving(life.clone()));
    }
    let body = ResponseBody::scheduled(&shared.uplink, body).held_by(guard);
    Outcome::Answered(Response::from_parts(parts, body))
}

/// Whether the upstream refused a request because it can't take more. One that names a limit on its rate may refuse what
/// exceeds that.
fn is_overload(status: StatusCode, head: &ResponseHead) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE && head.rate == RateNotice::Unlimited && !head.leaving
}

/// Whether the response with `headers` belongs to `call`.
fn is_response_to(headers: &HeaderMap, call: &Call) -> bool {
    let id: Option<&HeaderValue> = headers::caller_request_id(&call.headers);
    id.is_none_or(|id| headers::is_response_to(headers, id))
}

/// Converts a refusal by the upstream itself.
fn upstream_refusal(shared: &Shared, call: &Call, head: &ResponseHead) -> Refusal {
    if !head.misdirected {
        return Refusal::from(Reason::UpstreamRefused).by_upstream();
    }
    let mut state = shared.upstream.state.borrow_mut();
    if let Some(key) = call.key {
        let slice = state.slice(key);
        state.grants.refused(slice);
    }
    Refusal::from(Reason::NoGrant).by_upstream()
}
