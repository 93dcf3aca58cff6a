//! Forwarding of a request to another daemon.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

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
use rattanarch_types::BootId;
use rattanarch_types::Verdict;

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
use crate::request::forward_headers::FLOW;
use crate::request::forward_headers::FORWARD;
use crate::request::forward_headers::ForwardHeader;
use crate::request::forward_headers::ResponseHeaders;
use crate::request::peers::Peer;
use crate::request::pending_attempts::SuspectFlag;
use crate::request::target::Target;

/// Time after the deadline in which a response may still arrive: the peer gives up at the deadline,
/// and its error says more than a timeout here.
const RESPONSE_ALLOWANCE: Duration = Duration::from_millis(60);

/// An attempt at another daemon.
pub(crate) struct ForwardedAttempt<'a> {
    pub(crate) call: &'a Call,
    pub(crate) trace: &'a RequestTrace,
    pub(crate) target: Target,
    /// Set if the peer may be gone.
    pub(crate) suspect: SuspectFlag,
}

/// Sends a request to the daemon `peer`. Dropping the future cancels the request there.
pub(crate) async fn forward(
    shared: &Rc<Shared>,
    peer: &Rc<Peer>,
    attempt: ForwardedAttempt<'_>,
) -> Outcome {
    let _in_flight = InFlightGuard::new(peer);
    let outcome = exchange(shared, peer, &attempt).await;
    let call = attempt.call;
    if !attempt.target.local {
        shared.meters.cross_data_centre_bytes(&call.service, transfer_bytes(call, &outcome));
    }
    match &outcome {
        Outcome::Refused(refusal) if refusal.reason == Reason::Unreachable => {
            log::warn!(id:% = call.id, peer:% = peer.address; "peer unreachable");
            peer.back_off(shared.now());
        }
        // It exits within moments, and its successor needs time to start.
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

async fn exchange(shared: &Rc<Shared>, peer: &Rc<Peer>, attempt: &ForwardedAttempt<'_>) -> Outcome {
    let call = attempt.call;
    let unreachable =
        || Outcome::Refused(Refusal::new(Reason::Unreachable, UNREACHABLE_RETRY_AFTER));
    let Ok(mut connection) = peer.pool.checkout(Checkout::Reuse).await else {
        return unreachable();
    };
    let left = call.deadline.saturating_sub(shared.now());
    let Some(request) = request(shared, peer, attempt, left) else { return unreachable() };
    let response = probe_while_waiting(shared, peer, attempt, connection.send(request));
    match within(left + RESPONSE_ALLOWANCE, response).await {
        None => {
            peer.record_outcome(shared.now(), false, None);
            Outcome::Failed(Failure::TimedOut)
        }
        Some(Ok(response)) => read(shared, (peer, attempt.target.member), response, connection),
        Some(Err(SendError::Unsent(_))) => unreachable(),
        Some(Err(SendError::Broken(reason))) => {
            peer.record_outcome(shared.now(), false, None);
            if connection.is_reused() {
                peer.pool.clear();
            }
            Outcome::Failed(Failure::Cut(reason))
        }
    }
}

/// Waits for `response`, and probes the peer with new connections in the meantime, see
/// [`ProbeTracker`]. A peer that accepts none may be gone or only busy, so a failed probe does not end
/// the attempt: only its own connection does.
async fn probe_while_waiting<T>(
    shared: &Shared,
    peer: &Peer,
    attempt: &ForwardedAttempt<'_>,
    response: impl Future<Output = T>,
) -> T {
    let mut response = std::pin::pin!(response);
    let mut tracker = ProbeTracker::new(attempt.call.idempotent);
    loop {
        tokio::select! {
            biased;
            response = &mut response => return response,
            () = tokio::time::sleep(tracker.delay()) => {}
        }
        let reachable = tokio::select! {
            biased;
            response = &mut response => return response,
            reachable = probe(peer) => reachable,
        };
        let result = tracker.on_probe(reachable, !shared.phase.borrow().is_open());
        shared.meters.peer_probe(result);
        if result != ProbeResult::Reachable {
            attempt.trace.add(Decision::Probed { address: peer.address, result });
        }
        if result == ProbeResult::Unreachable {
            peer.record_outcome(shared.now(), false, None);
            peer.back_off(shared.now());
            attempt.suspect.set(true);
            return response.await;
        }
    }
}

/// Whether a new connection to the peer can be opened.
async fn probe(peer: &Peer) -> bool {
    let opened = peer.pool.checkout(Checkout::Fresh).await;
    opened.map(|connection| peer.pool.put_back(connection)).is_ok()
}

/// Approximate size of a request and its response in bytes, from their header fields and bodies.
fn transfer_bytes(call: &Call, outcome: &Outcome) -> usize {
    let head = |headers: &HeaderMap| -> usize {
        headers
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len() + FIELD_OVERHEAD_BYTES)
            .sum()
    };
    let sent = call.uri.path().len() + head(&call.headers) + call.body.len();
    let response = match outcome {
        Outcome::Answered(response) => {
            let length = response.body().size_hint().exact().unwrap_or_default();
            head(response.headers()) + length as usize
        }
        Outcome::Refused(_) | Outcome::Failed(_) => 0,
    };
    sent + response
}

/// Bytes of a header field besides its name and value: a colon, a space and the line end.
const FIELD_OVERHEAD_BYTES: usize = 4;

/// Delay before a retry if a daemon can't be reached: it may be starting.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(400);

fn request(
    shared: &Shared,
    peer: &Peer,
    attempt: &ForwardedAttempt<'_>,
    left: Duration,
) -> Option<Request<RequestBody>> {
    let call = attempt.call;
    let forward_header = ForwardHeader {
        service: call.service.clone(),
        origin_service: call.origin_service.clone(),
        rank: call.rank,
        objective: call.objective.saturating_sub(shared.now()),
        left,
        idempotent: call.idempotent,
        key: call.key,
        size: call.size,
        retry: call.retry.get(),
        leaving: peer.leaving_notice(shared.now()),
        version: attempt.target.version,
    };
    let mut request = Request::new(call.body.to_request());
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    let headers = request.headers_mut();
    headers.clone_from(&call.headers);
    headers.insert(FORWARD, HeaderValue::from_str(&forward_header.to_string()).ok()?);
    if let Some(flow) = call.flow {
        headers.insert(FLOW, HeaderValue::from(flow));
    }
    if !headers.contains_key(header::HOST) {
        headers.insert(header::HOST, HeaderValue::from_str(&peer.address.to_string()).ok()?);
    }
    Some(request)
}

fn read(
    shared: &Shared,
    (peer, member): (&Rc<Peer>, BootId),
    response: Response<Incoming>,
    connection: PooledConnection,
) -> Outcome {
    let (mut parts, body) = response.into_parts();
    let Some(meta) = ResponseHeaders::take(&mut parts.headers) else {
        peer.record_outcome(shared.now(), false, None);
        return Outcome::Failed(Failure::Cut("the peer gave no verdict".to_owned()));
    };
    let good = meta.verdict == Verdict::Done && !parts.status.is_server_error();
    peer.record_outcome(shared.now(), good, meta.load);
    if let Some(life) = meta.leaving {
        peer.record_leaving(shared.now(), life, member);
    }
    let retry_after = headers::retry_after(&parts.headers);
    let body = ResponseBody::relayed(body, connection, Rc::clone(&peer.pool), &shared.held);
    match meta.verdict {
        Verdict::Done => {
            super::call::strip_connection_headers(&mut parts.headers);
            Outcome::Answered(Response::from_parts(parts, body))
        }
        Verdict::NotRun => {
            let reason = meta.reason.parse().unwrap_or(Reason::Unreachable);
            let refusal = Refusal::new(reason, retry_after.unwrap_or_else(|| reason.retry_after()));
            Outcome::Refused(if meta.by_upstream { refusal.by_upstream() } else { refusal })
        }
        Verdict::MayHaveRun if parts.status == hyper::StatusCode::GATEWAY_TIMEOUT => {
            Outcome::Failed(Failure::TimedOut)
        }
        Verdict::MayHaveRun => Outcome::Failed(Failure::Cut(meta.reason)),
    }
}

/// Counts a request as in flight at a peer until its response has begun.
struct InFlightGuard<'a>(&'a Peer);

impl<'a> InFlightGuard<'a> {
    fn new(peer: &'a Peer) -> Self {
        peer.in_flight.set(peer.in_flight.get() + 1);
        Self(peer)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
