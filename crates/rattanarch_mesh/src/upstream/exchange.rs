//! One request at the upstream.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use rattanarch_adapter::headers;
use rattanarch_adapter::headers::AnswerHead;
use rattanarch_adapter::headers::UpstreamHeaders;

use crate::connection::Checkout;
use crate::connection::PooledConnection;
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
use crate::upstream::UpstreamSnapshot;
use crate::upstream::admit;

/// Largest answer that is held until it is whole, in bytes; the largest known ones have a tenth.
const MAX_ANSWER: usize = 8 << 20;

/// Least time that is worth sending a request for.
const MIN_LEFT: Duration = Duration::from_millis(5);

/// Runs `call` at the upstream on this machine, once it is admitted.
///
/// Dropping the future ends an idempotent request, whose caller has gone; any other goes on, so that
/// what it does is done once and whole.
pub(crate) async fn run(shared: &Rc<Shared>, call: &Rc<Call>, trace: &RequestTrace) -> Outcome {
    if call.service != shared.settings.service {
        // A daemon of another service had this address, and may still stand in that one's record.
        return Outcome::Refused(Reason::OtherService.into());
    }
    let permit = match admit(shared, call, trace).await {
        Ok(permit) => permit,
        Err(Refusal { reason, retry_after, by_upstream }) => {
            trace.add(Decision::Refused {
                reason,
                retry_after,
                view: UpstreamSnapshot::of(shared),
            });
            return Outcome::Refused(Refusal { reason, retry_after, by_upstream });
        }
    };
    let sending = send(Rc::clone(shared), Rc::clone(call), permit);
    if call.idempotent {
        return sending.await;
    }
    match tokio::task::spawn_local(sending).await {
        Ok(outcome) => outcome,
        Err(error) => Outcome::Failed(Failure::Cut(error.to_string())),
    }
}

async fn send(shared: Rc<Shared>, call: Rc<Call>, mut permit: Permit) -> Outcome {
    let mut link = match checkout(&shared, &call).await {
        Ok(link) => link,
        Err(refusal) => return Outcome::Refused(refusal),
    };
    let left = call.deadline.saturating_sub(shared.now());
    if left < MIN_LEFT {
        return Outcome::Refused(Refusal::new(Reason::Overloaded, Duration::ZERO));
    }
    let Some(request) = request(&shared, &call, left) else {
        return Outcome::Refused(Refusal::from(Reason::NoUpstream));
    };
    let reused = link.is_reused();
    let sent = within(left, link.send(request)).await;
    let response = match sent {
        None => return Outcome::Failed(Failure::TimedOut),
        Some(Ok(response)) => response,
        Some(Err(SendError::Unsent(_))) => {
            return Outcome::Refused(Refusal::new(Reason::NoUpstream, Duration::from_millis(20)));
        }
        Some(Err(SendError::Broken(reason))) => {
            if reused {
                shared.upstream.pool.clear();
            }
            return Outcome::Failed(Failure::Cut(reason));
        }
    };
    read(&shared, &call, (response, link), &mut permit).await
}

async fn checkout(shared: &Shared, call: &Call) -> Result<PooledConnection, Refusal> {
    // Late answers of earlier requests may come first on a connection that was used before; a
    // request that must not run twice could not be sent again after one.
    let checkout = if call.idempotent { Checkout::Reuse } else { Checkout::Fresh };
    shared.upstream.pool.checkout(checkout).await.map_err(|error| {
        if error.kind() == io::ErrorKind::ConnectionRefused {
            note_refused(shared);
        }
        log::warn!(id:% = call.id, reason:% = error; "upstream not connected");
        Refusal::from(Reason::NoUpstream)
    })
}

/// Nothing listens where the upstream did: its life has ended.
fn note_refused(shared: &Shared) {
    let now = shared.now();
    let mut state = shared.upstream.state.borrow_mut();
    let Some(life) = &mut state.life else { return };
    if life.refused.is_none() {
        life.refused = Some(now);
        log::warn!(life:% = life.id; "upstream gone: connection refused");
    }
}

fn request(shared: &Shared, call: &Call, left: Duration) -> Option<Request<Full<Bytes>>> {
    let state = shared.upstream.state.borrow();
    let life = &state.life.as_ref()?.id;
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    UpstreamHeaders { life, caller: &call.origin, left }.apply(request.headers_mut());
    Some(request)
}

async fn read(
    shared: &Shared,
    call: &Call,
    (response, link): (Response<Incoming>, PooledConnection),
    permit: &mut Permit,
) -> Outcome {
    let (mut parts, body) = response.into_parts();
    let head = AnswerHead::read(parts.status.as_u16(), &parts.headers);
    if !is_own(&parts.headers, call) {
        shared.upstream.pool.clear();
        return Outcome::Failed(Failure::Crossed);
    }
    let left = call.deadline.saturating_sub(shared.now());
    let body = match within(left, Limited::new(body, MAX_ANSWER).collect()).await {
        None => return Outcome::Failed(Failure::TimedOut),
        Some(Err(error)) => return Outcome::Failed(Failure::Cut(error.to_string())),
        Some(Ok(body)) => body.to_bytes(),
    };
    shared.upstream.pool.put_back(link);
    if head.not_run {
        return Outcome::Refused(refusal(shared, call, &head));
    }
    let spoilt = parts.headers.contains_key(header::CONTENT_ENCODING);
    if spoilt || parts.status.is_success() && !head.stamped {
        return Outcome::Failed(Failure::Spoilt);
    }
    permit.answered();
    strip_connection_headers(&mut parts.headers);
    parts.headers.remove(header::CONTENT_LENGTH);
    Outcome::Answered(Response::from_parts(parts, ResponseBody::in_turn(&shared.uplink, body)))
}

/// Whether an answer belongs to `call`.
fn is_own(headers: &HeaderMap, call: &Call) -> bool {
    let id: Option<&HeaderValue> = headers::attempt_id(&call.headers);
    id.is_none_or(|id| headers::is_answer_to(headers, id))
}

/// The upstream's own refusal.
fn refusal(shared: &Shared, call: &Call, head: &AnswerHead) -> Refusal {
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
