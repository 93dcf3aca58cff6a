//! The life of one request for work.

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

use crate::http::Answer;
use crate::http::Body;
use crate::http::Hangup;
use crate::http::empty;
use crate::http::json;
use crate::http::read_body;
use crate::platform::take;
use crate::query::decode;
use crate::query::parameter;
use crate::upstream::Outcome;
use crate::upstream::body::CutBody;
use crate::upstream::body::FileBody;
use crate::upstream::run::Run;
use crate::upstream::service::Shared;

/// Header with the request's id.
pub(crate) const REQUEST_HEADER: &str = "rattanarch-request";

/// Header with the name of the upstream that answers.
pub(crate) const INSTANCE_HEADER: &str = "upstream-instance";

/// Text of [`Verdict::NotRun`].
const NOT_RUN: &str = "not-run";

/// Longest body of a request, in bytes.
const BODY_LIMIT: usize = 1 << 20;

/// Longest time that work takes without a deadline.
const NO_DEADLINE: Duration = Duration::from_secs(24 * 3_600);

/// A request for work as it was read.
#[derive(Clone, Debug)]
pub(crate) struct Order {
    pub(crate) request: String,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) key: String,
    pub(crate) fence: Option<Fence>,
    pub(crate) deadline: Option<Duration>,
    pub(crate) idempotency: Option<String>,
    /// Length of the file that is asked for; `None` for other work.
    file_bytes: Option<u64>,
    /// Text of the caller's own, which the answer repeats.
    echo: Option<String>,
}

impl Order {
    fn new(request: &Request<Incoming>) -> Self {
        let headers = request.headers();
        let path = decode(request.uri().path());
        let query = request.uri().query().unwrap_or_default();
        let name = path.rsplit('/').next().unwrap_or_default().to_owned();
        Self {
            request: text(headers, REQUEST_HEADER).unwrap_or_default(),
            method: request.method().clone(),
            key: text(headers, "rattanarch-key").unwrap_or(name),
            path,
            fence: number(headers, "rattanarch-fence"),
            deadline: number(headers, "rattanarch-deadline-ms").map(Duration::from_millis),
            idempotency: text(headers, "idempotency-key"),
            file_bytes: parameter(query, "bytes"),
            echo: parameter(query, "echo"),
        }
    }

    /// Whether the request changes its key's value.
    pub(crate) fn is_write(&self) -> bool {
        !matches!(self.method, Method::GET | Method::HEAD)
    }

    fn file_name(&self) -> &str {
        self.path.rsplit('/').next().unwrap_or_default()
    }
}

/// Why a request did not run, and will not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// No room, cold, draining or cancelled before its effect.
    Shed,
    /// It does not carry the fence of a grant in force.
    Fence,
    /// Its deadline has passed.
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

    fn answer(self, order: &Order) -> Response<Body> {
        let mut answer = empty(self.status());
        answer.headers_mut().insert(Verdict::HEADER, HeaderValue::from_static(NOT_RUN));
        echo(&mut answer, order);
        answer
    }
}

/// Performs one request for work.
pub(crate) async fn perform(shared: Arc<Shared>, request: Request<Incoming>) -> Answer {
    let order = Order::new(&request);
    let Some(_body) = read_body(request.into_body(), BODY_LIMIT).await? else {
        return Ok(empty(StatusCode::PAYLOAD_TOO_LARGE));
    };
    shared.thawed().await;
    if take(&mut shared.state().faults.deaf_next) {
        return pending().await;
    }
    let mut run = match Run::start(&shared, &order) {
        Ok(run) => run,
        Err(refusal) => return Ok(refusal.answer(&order)),
    };
    match stopped_early(&shared, &order, &mut run).await {
        Some(Outcome::Abandoned) => return Err(Hangup),
        Some(outcome) => {
            run.end(outcome);
            let expired = outcome == Outcome::Expired;
            let refusal = if expired { Refusal::Deadline } else { Refusal::Shed };
            return Ok(refusal.answer(&order));
        }
        None => {}
    }
    match order.file_bytes {
        Some(length) => Ok(file_answer(&shared, order, length, run)),
        None => value_answer(&shared, &order, run).await,
    }
}

/// Waits while the work is done; says how it ended if it was stopped before.
async fn stopped_early(shared: &Shared, order: &Order, run: &mut Run) -> Option<Outcome> {
    let time = shared.work_time();
    let deadline = order.deadline.unwrap_or(NO_DEADLINE);
    tokio::select! {
        outcome = run.stopped() => return Some(outcome),
        () = tokio::time::sleep(deadline) => return Some(Outcome::Expired),
        () = tokio::time::sleep(time) => {}
    }
    shared.thawed().await;
    run.stop_reason()
}

fn file_answer(shared: &Shared, order: Order, length: u64, run: Run) -> Response<Body> {
    let cut = take(&mut shared.state().faults.cut_next);
    let mut answer = empty(StatusCode::OK);
    mark(&mut answer, shared, &order);
    let name = order.file_name().to_owned();
    *answer.body_mut() = FileBody::new(&name, length, cut, run, order).boxed_unsync();
    answer
}

async fn value_answer(shared: &Shared, order: &Order, run: Run) -> Answer {
    let value = match run.commit(order) {
        Ok(value) => value,
        Err(refusal) => return Ok(refusal.answer(order)),
    };
    let instance = &shared.state().settings.instance.clone();
    let (key, request) = (&order.key, &order.request);
    let mut body = json!({"key": key, "request": request, "value": value, "instance": instance});
    if let Some(echo) = &order.echo {
        body["echo"] = echo.as_str().into();
    }
    let mut answer = json(StatusCode::OK, &body);
    mark(&mut answer, shared, order);
    faulty(shared, answer, Bytes::from(body.to_string())).await
}

/// The answer as the faults let it through.
async fn faulty(shared: &Shared, answer: Response<Body>, body: Bytes) -> Answer {
    let (mute, late, late_ms, cross, cut) = {
        let faults = &mut shared.state().faults;
        let (mute, late) = (take(&mut faults.mute_next), take(&mut faults.late_next));
        let (cross, cut) = (take(&mut faults.cross_next), take(&mut faults.cut_next));
        (mute, late, faults.late_ms, cross, cut)
    };
    if mute {
        return pending().await;
    }
    if late {
        tokio::time::sleep(Duration::from_millis(late_ms)).await;
    }
    let answer = shared.remember(answer, body.clone(), cross);
    if !cut {
        return Ok(answer);
    }
    let (head, _) = answer.into_parts();
    Ok(Response::from_parts(head, CutBody::new(&body).boxed_unsync()))
}

fn mark(answer: &mut Response<Body>, shared: &Shared, order: &Order) {
    echo(answer, order);
    let instance = HeaderValue::from_str(&shared.state().settings.instance);
    if let Ok(instance) = instance {
        answer.headers_mut().insert(INSTANCE_HEADER, instance);
    }
}

fn echo(answer: &mut Response<Body>, order: &Order) {
    if let Ok(request) = HeaderValue::from_str(&order.request) {
        answer.headers_mut().insert(REQUEST_HEADER, request);
    }
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name).and_then(|text| text.parse().ok())
}
