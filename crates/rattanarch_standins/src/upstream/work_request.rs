//! Handles requests for work.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use rattanarch_types::Fence;
use rattanarch_types::Verdict;
use serde_json::json;

use crate::http::Body;
use crate::http::HandlerResult;
use crate::http::Hangup;
use crate::http::empty;
use crate::http::json;
use crate::http::read_body;
use crate::platform::consume;
use crate::query::decode;
use crate::query::parameter;
use crate::upstream::Outcome;
use crate::upstream::body::FileBody;
use crate::upstream::body::TruncatedBody;
use crate::upstream::execution::Execution;
use crate::upstream::standin::Shared;

/// Header with the request id.
pub(crate) const REQUEST_HEADER: &str = "rattanarch-request";

/// Header with the name of the upstream that sends the response.
pub(crate) const INSTANCE_HEADER: &str = "upstream-instance";

/// Text of [`Verdict::NotRun`].
const NOT_RUN: &str = "not-run";

/// Longest body of a request.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Deadline of requests that have none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(24 * 3_600);

/// A parsed request for work.
#[derive(Clone, Debug)]
pub(crate) struct WorkRequest {
    pub(crate) request_id: String,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) key: String,
    pub(crate) fence: Option<Fence>,
    pub(crate) deadline: Option<Duration>,
    pub(crate) idempotency_key: Option<String>,
    /// Length of the requested file, in bytes; `None` if the request is not for a file.
    file_bytes: Option<u64>,
    /// Text from the caller that the response returns.
    echo: Option<String>,
}

impl WorkRequest {
    fn new(request: &Request<Incoming>) -> Self {
        let headers = request.headers();
        let path = decode(request.uri().path());
        let query = request.uri().query().unwrap_or_default();
        let name = path.rsplit('/').next().unwrap_or_default().to_owned();
        Self {
            request_id: text_header(headers, REQUEST_HEADER).unwrap_or_default(),
            method: request.method().clone(),
            key: text_header(headers, "rattanarch-key").unwrap_or(name),
            path,
            fence: number_header(headers, "rattanarch-fence"),
            deadline: number_header(headers, "rattanarch-deadline-ms").map(Duration::from_millis),
            idempotency_key: text_header(headers, "idempotency-key"),
            file_bytes: parameter(query, "bytes"),
            echo: parameter(query, "echo"),
        }
    }

    /// Whether the request changes the value of its key.
    pub(crate) fn is_write(&self) -> bool {
        !matches!(self.method, Method::GET | Method::HEAD)
    }

    fn file_name(&self) -> &str {
        self.path.rsplit('/').next().unwrap_or_default()
    }
}

/// Reason why a request takes no effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// The upstream has no capacity, is draining or has collapsed, or the request was cancelled.
    Shed,
    /// The request does not have the fence of a valid grant.
    Fence,
    /// The deadline has passed.
    Deadline,
}

impl Refusal {
    fn status(self) -> StatusCode {
        match self {
            Self::Shed => StatusCode::SERVICE_UNAVAILABLE,
            Self::Fence => StatusCode::PRECONDITION_FAILED,
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn response(self, work: &WorkRequest) -> Response<Body> {
        let mut response = empty(self.status());
        response.headers_mut().insert(Verdict::HEADER, HeaderValue::from_static(NOT_RUN));
        echo_request_id(&mut response, work);
        response
    }
}

/// Executes one request for work.
pub(crate) async fn handle_work(shared: Arc<Shared>, request: Request<Incoming>) -> HandlerResult {
    let work = WorkRequest::new(&request);
    let Some(_body) = read_body(request.into_body(), MAX_BODY_BYTES).await? else {
        return Ok(empty(StatusCode::PAYLOAD_TOO_LARGE));
    };
    shared.wait_unfrozen().await;
    if consume(&mut shared.state().faults.deaf_next) {
        return pending().await;
    }
    let mut execution = match Execution::start(&shared, &work) {
        Ok(execution) => execution,
        Err(refusal) => return Ok(refusal.response(&work)),
    };
    match simulate_work(&shared, &work, &mut execution).await {
        Some(Outcome::Abandoned) => return Err(Hangup),
        Some(outcome) => {
            execution.end(outcome);
            let expired = outcome == Outcome::Expired;
            let refusal = if expired { Refusal::Deadline } else { Refusal::Shed };
            return Ok(refusal.response(&work));
        }
        None => {}
    }
    match work.file_bytes {
        Some(length) => Ok(file_response(&shared, work, length, execution)),
        None => value_response(&shared, &work, execution).await,
    }
}

/// Simulates the work; returns how the execution ended if it was stopped early.
async fn simulate_work(
    shared: &Shared,
    work: &WorkRequest,
    execution: &mut Execution,
) -> Option<Outcome> {
    let time = shared.work_time();
    let deadline = work.deadline.unwrap_or(DEFAULT_DEADLINE);
    tokio::select! {
        outcome = execution.wait_for_stop() => return Some(outcome),
        () = tokio::time::sleep(deadline) => return Some(Outcome::Expired),
        () = tokio::time::sleep(time) => {}
    }
    shared.wait_unfrozen().await;
    execution.stop_reason()
}

fn file_response(
    shared: &Shared,
    work: WorkRequest,
    length: u64,
    execution: Execution,
) -> Response<Body> {
    let cut = consume(&mut shared.state().faults.cut_next);
    let mut response = empty(StatusCode::OK);
    add_headers(&mut response, shared, &work);
    let name = work.file_name().to_owned();
    *response.body_mut() = FileBody::new(&name, length, cut, execution, work).boxed_unsync();
    response
}

async fn value_response(
    shared: &Shared,
    work: &WorkRequest,
    execution: Execution,
) -> HandlerResult {
    let value = match execution.commit(work) {
        Ok(value) => value,
        Err(refusal) => return Ok(refusal.response(work)),
    };
    let instance = &shared.state().settings.instance.clone();
    let (key, request) = (&work.key, &work.request_id);
    let mut body = json!({"key": key, "request": request, "value": value, "instance": instance});
    if let Some(echo) = &work.echo {
        body["echo"] = echo.as_str().into();
    }
    let mut response = json(StatusCode::OK, &body);
    add_headers(&mut response, shared, work);
    apply_response_faults(shared, response, Bytes::from(body.to_string())).await
}

/// Applies the response faults to a response.
async fn apply_response_faults(
    shared: &Shared,
    response: Response<Body>,
    body: Bytes,
) -> HandlerResult {
    let (mute, late, late_ms, cross, cut) = {
        let faults = &mut shared.state().faults;
        let (mute, late) = (consume(&mut faults.mute_next), consume(&mut faults.late_next));
        let (cross, cut) = (consume(&mut faults.cross_next), consume(&mut faults.cut_next));
        (mute, late, faults.late_ms, cross, cut)
    };
    if mute {
        return pending().await;
    }
    if late {
        tokio::time::sleep(Duration::from_millis(late_ms)).await;
    }
    let response = shared.swap_response(response, body.clone(), cross);
    if !cut {
        return Ok(response);
    }
    let (head, _) = response.into_parts();
    Ok(Response::from_parts(head, TruncatedBody::new(&body).boxed_unsync()))
}

fn add_headers(response: &mut Response<Body>, shared: &Shared, work: &WorkRequest) {
    echo_request_id(response, work);
    let instance = HeaderValue::from_str(&shared.state().settings.instance);
    if let Ok(instance) = instance {
        response.headers_mut().insert(INSTANCE_HEADER, instance);
    }
}

fn echo_request_id(response: &mut Response<Body>, work: &WorkRequest) {
    if let Ok(request) = HeaderValue::from_str(&work.request_id) {
        response.headers_mut().insert(REQUEST_HEADER, request);
    }
}

fn text_header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}

fn number_header(headers: &HeaderMap, name: &str) -> Option<u64> {
    text_header(headers, name).and_then(|text| text.parse().ok())
}
