//! A request on its way to another daemon.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use rattanarch_adapter::headers;
use rattanarch_routing::ProbeResult;
use rattanarch_routing::ProbeTracker;
use rattanarch_types::Verdict;

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
use crate::request::mark::AnswerMark;
use crate::request::mark::FORWARD;
use crate::request::mark::ForwardMark;
use crate::request::open_tries::Doubt;
use crate::request::peers::Peer;
use crate::request::target::Target;

/// Time for the answer's way back: the daemon beside the upstream gives up at the deadline, and its
/// word is better than silence.
const WAY_BACK: Duration = Duration::from_millis(60);

/// A try at another daemon.
pub(crate) struct Forward<'a> {
    pub(crate) call: &'a Call,
    pub(crate) trace: &'a RequestTrace,
    pub(crate) target: Target,
    /// Set if the peer may be gone.
    pub(crate) doubt: Doubt,
}

/// Sends a request to the daemon `peer`. Dropping the future ends the request there.
pub(crate) async fn forward(shared: &Rc<Shared>, peer: &Rc<Peer>, sending: Forward<'_>) -> Outcome {
    let _sent = SentGuard::new(peer);
    let outcome = exchange(shared, peer, &sending).await;
    let call = sending.call;
    if !sending.target.local {
        shared.meters.cross_data_centre_bytes(&call.service, bytes_of(call, &outcome));
    }
    match &outcome {
        Outcome::Refused(refusal) if refusal.reason == Reason::Unreachable => {
            log::warn!(id:% = call.id, peer:% = peer.address; "peer not reached");
            peer.back_off(shared.now());
        }
        // It ends within moments, and its successor needs some to start.
        Outcome::Refused(refusal) if refusal.reason == Reason::Stopping => {
            peer.back_off(shared.now());
        }
        Outcome::Failed(failure) => {
            log::debug!(id:% = call.id, peer:% = peer.address, reason:% = failure; "peer failed");
        }
        _ => {}
    }
    outcome
}

async fn exchange(shared: &Rc<Shared>, peer: &Rc<Peer>, sending: &Forward<'_>) -> Outcome {
    let call = sending.call;
    let unreachable = || Outcome::Refused(Refusal::new(Reason::Unreachable, RETURN_PAUSE));
    let Ok(mut link) = peer.pool.checkout(Checkout::Reuse).await else { return unreachable() };
    let left = call.deadline.saturating_sub(shared.now());
    let Some(request) = request(shared, peer, call, left) else { return unreachable() };
    let answer = watched(shared, peer, sending, link.send(request));
    match within(left + WAY_BACK, answer).await {
        None => {
            peer.record_outcome(shared.now(), false, None);
            Outcome::Failed(Failure::TimedOut)
        }
        Some(Ok(response)) => read(shared, peer, response, link),
        Some(Err(SendError::Unsent(_))) => unreachable(),
        Some(Err(SendError::Broken(reason))) => {
            peer.record_outcome(shared.now(), false, None);
            if link.is_reused() {
                peer.pool.clear();
            }
            Outcome::Failed(Failure::Cut(reason))
        }
    }
}

/// Waits for `answer`, and looks now and then whether the peer takes a fresh connection, see [`ProbeTracker`]. A peer
/// that does not may be gone, or only busy: the request itself ends by its own connection alone.
async fn watched<T>(
    shared: &Shared,
    peer: &Peer,
    sending: &Forward<'_>,
    answer: impl Future<Output = T>,
) -> T {
    let mut answer = std::pin::pin!(answer);
    let mut watch = ProbeTracker::new(sending.call.idempotent);
    loop {
        tokio::select! {
            biased;
            answer = &mut answer => return answer,
            () = tokio::time::sleep(watch.delay()) => {}
        }
        let here = tokio::select! {
            biased;
            answer = &mut answer => return answer,
            here = is_here(peer) => here,
        };
        let look = watch.on_probe(here, !shared.phase.borrow().is_open());
        shared.meters.peer_probe(look);
        if look != ProbeResult::Reachable {
            sending.trace.add(Decision::Probed { address: peer.address, look });
        }
        if look == ProbeResult::Unreachable {
            peer.record_outcome(shared.now(), false, None);
            peer.back_off(shared.now());
            sending.doubt.set(true);
            return answer.await;
        }
    }
}

/// Whether a fresh connection to the peer can be opened.
async fn is_here(peer: &Peer) -> bool {
    let opened = peer.pool.checkout(Checkout::Fresh).await;
    opened.map(|link| peer.pool.put_back(link)).is_ok()
}

/// Bytes of a request and its answer, as far as their heads and bodies tell.
fn bytes_of(call: &Call, outcome: &Outcome) -> usize {
    let head = |headers: &HeaderMap| -> usize {
        headers.iter().map(|(name, value)| name.as_str().len() + value.len() + FIELD_BYTES).sum()
    };
    let sent = call.uri.path().len() + head(&call.headers) + call.body.len();
    let answer = match outcome {
        Outcome::Answered(response) => {
            let length = response.body().size_hint().exact().unwrap_or_default();
            head(response.headers()) + length as usize
        }
        Outcome::Refused(_) | Outcome::Failed(_) => 0,
    };
    sent + answer
}

/// Bytes of a header field beside its name and value: a colon, a space and the line's end.
const FIELD_BYTES: usize = 4;

/// When to come back if a daemon can't be reached: it may be starting.
const RETURN_PAUSE: Duration = Duration::from_millis(400);

fn request(
    shared: &Shared,
    peer: &Peer,
    call: &Call,
    left: Duration,
) -> Option<Request<Full<bytes::Bytes>>> {
    let mark = ForwardMark {
        service: call.service.clone(),
        origin: call.origin.clone(),
        rank: call.rank,
        objective: call.objective.saturating_sub(shared.now()),
        left,
        idempotent: call.idempotent,
        key: call.key,
        size: call.size,
        repeat: call.retry.get(),
    };
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    let headers = request.headers_mut();
    headers.clone_from(&call.headers);
    headers.insert(FORWARD, HeaderValue::from_str(&mark.to_string()).ok()?);
    if !headers.contains_key(header::HOST) {
        headers.insert(header::HOST, HeaderValue::from_str(&peer.address.to_string()).ok()?);
    }
    Some(request)
}

fn read(
    shared: &Shared,
    peer: &Rc<Peer>,
    response: Response<Incoming>,
    link: PooledConnection,
) -> Outcome {
    let (mut parts, body) = response.into_parts();
    let Some(mark) = AnswerMark::take(&mut parts.headers) else {
        peer.record_outcome(shared.now(), false, None);
        return Outcome::Failed(Failure::Cut("the peer gave no verdict".to_owned()));
    };
    let good = mark.verdict == Verdict::Done && !parts.status.is_server_error();
    peer.record_outcome(shared.now(), good, mark.load);
    let retry_after = headers::retry_after(&parts.headers);
    let body = ResponseBody::relayed(body, link, Rc::clone(&peer.pool));
    match mark.verdict {
        Verdict::Done => {
            super::call::strip_connection_headers(&mut parts.headers);
            Outcome::Answered(Response::from_parts(parts, body))
        }
        Verdict::NotRun => {
            let reason = mark.reason.parse().unwrap_or(Reason::Unreachable);
            let refusal = Refusal::new(reason, retry_after.unwrap_or_else(|| reason.retry_after()));
            Outcome::Refused(if mark.by_upstream { refusal.by_upstream() } else { refusal })
        }
        Verdict::MayHaveRun if parts.status == hyper::StatusCode::GATEWAY_TIMEOUT => {
            Outcome::Failed(Failure::TimedOut)
        }
        Verdict::MayHaveRun => Outcome::Failed(Failure::Cut(mark.reason)),
    }
}

/// Counts a request that was sent to a peer, until its answer has begun.
struct SentGuard<'a>(&'a Peer);

impl<'a> SentGuard<'a> {
    fn new(peer: &'a Peer) -> Self {
        peer.in_flight.set(peer.in_flight.get() + 1);
        Self(peer)
    }
}

impl Drop for SentGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
