//! One attempt to send a request, and its outcome.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use rattanarch_types::Verdict;
use serde::Deserialize;

use crate::content::Content;
use crate::load::PlannedRequest;
use crate::load::connection_pool::Connection;
use crate::load::connection_pool::ConnectionPool;

/// Longest accepted JSON response.
const MAX_JSON_BYTES: usize = 64 << 10;

/// Outcome of an attempt.
#[derive(Clone, Debug)]
pub(crate) enum AttemptOutcome {
    /// A complete and correct response from the named instance.
    Correct(String),
    /// A response with status 2xx that belongs to another request, or is incomplete without a connection error.
    Wrong(String),
    /// A response with a status other than 2xx.
    Refused(Refused),
    /// The request was not sent, for the given reason.
    NotSent(String),
    /// The request was sent, and no complete response arrived, for the given reason.
    Incomplete(String),
}

/// A response with a status other than 2xx.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refused {
    pub(crate) status: StatusCode,
    /// Value of the verdict header; without it the request may have run.
    pub(crate) verdict: Option<Verdict>,
    pub(crate) retry_after: Option<Duration>,
}

impl AttemptOutcome {
    /// Whether the request may have run, as far as the caller knows.
    pub(crate) fn verdict(&self) -> Verdict {
        match self {
            Self::Correct(_) | Self::Wrong(_) => Verdict::Done,
            Self::Refused(refused) => refused.verdict.unwrap_or(Verdict::MayHaveRun),
            Self::NotSent(_) => Verdict::NotRun,
            Self::Incomplete(_) => Verdict::MayHaveRun,
        }
    }
}

/// Sends `planned` to `target` once. `timeout` applies to the connection and to the exchange separately.
pub(crate) async fn send_attempt(
    pool: &ConnectionPool,
    target: SocketAddr,
    planned: &PlannedRequest,
    timeout: Duration,
) -> AttemptOutcome {
    let connecting = tokio::time::timeout(timeout, pool.take(target));
    let mut connection = match connecting.await {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => return AttemptOutcome::NotSent(error.to_string()),
        Err(_) => return AttemptOutcome::NotSent("connect: timed out".to_owned()),
    };
    let exchange = tokio::time::timeout(timeout, exchange(&mut connection, target, planned));
    match exchange.await {
        Ok(Ok(outcome)) => {
            // After a wrong response the state of the connection is unknown.
            if !matches!(outcome, AttemptOutcome::Wrong(_)) && !connection.is_closed() {
                pool.put(target, connection);
            }
            outcome
        }
        Ok(Err(error)) => AttemptOutcome::Incomplete(root_cause(&error)),
        Err(_) => AttemptOutcome::Incomplete("timed out".to_owned()),
    }
}

async fn exchange(
    connection: &mut Connection,
    target: SocketAddr,
    planned: &PlannedRequest,
) -> Result<AttemptOutcome, hyper::Error> {
    let Ok(request) = build_request(target, planned) else {
        return Ok(AttemptOutcome::NotSent("the request is invalid".to_owned()));
    };
    connection.ready().await?;
    let response = connection.send_request(request).await?;
    if !response.status().is_success() {
        return read_refusal(response).await;
    }
    match planned.file_bytes {
        Some(length) => check_file(response, planned, length).await,
        None => check_value(response, planned).await,
    }
}

fn build_request(
    target: SocketAddr,
    planned: &PlannedRequest,
) -> Result<Request<Empty<Bytes>>, hyper::http::Error> {
    let PlannedRequest { kind, key, number, .. } = planned;
    let query = match planned.file_bytes {
        Some(length) => format!("bytes={length}"),
        None => format!("echo={number}"),
    };
    let mut builder = Request::builder()
        .method(if kind.is_write() { Method::POST } else { Method::GET })
        .uri(format!("/{}/{kind}/{key}?{query}", kind.service()))
        .header("host", target.to_string())
        .header("rattanarch-key", key);
    if kind.is_write() {
        builder = builder.header("idempotency-key", idempotency_key(planned));
    }
    builder.body(Empty::new())
}

/// Returns the idempotency key of a planned write, which is unique within the run.
pub(crate) fn idempotency_key(planned: &PlannedRequest) -> String {
    format!("{}-{:x}", planned.number, planned.draw)
}

async fn read_refusal(response: Response<Incoming>) -> Result<AttemptOutcome, hyper::Error> {
    let status = response.status();
    let verdict =
        header_text(response.headers(), Verdict::HEADER).and_then(|text| text.parse().ok());
    let millis =
        header_text(response.headers(), "rattanarch-retry-ms").and_then(|text| text.parse().ok());
    let seconds = header_text(response.headers(), "retry-after").and_then(|text| text.parse().ok());
    // The connection can only be reused after the body was read completely.
    response.into_body().collect().await?;
    let retry_after = millis.map(Duration::from_millis).or(seconds.map(Duration::from_secs));
    Ok(AttemptOutcome::Refused(Refused { status, verdict, retry_after }))
}

/// Body of a response to a request other than a download.
#[derive(Deserialize)]
struct ValueResponse {
    key: String,
    echo: Option<String>,
    instance: String,
}

async fn check_value(
    response: Response<Incoming>,
    planned: &PlannedRequest,
) -> Result<AttemptOutcome, hyper::Error> {
    let body = response.into_body().collect().await?.to_bytes();
    if body.len() > MAX_JSON_BYTES {
        return Ok(AttemptOutcome::Wrong("the response is too long".to_owned()));
    }
    let value: ValueResponse = match serde_json::from_slice(&body) {
        Ok(value) => value,
        Err(error) => {
            return Ok(AttemptOutcome::Wrong(format!("the response is malformed: {error}")));
        }
    };
    if value.key != planned.key {
        let detail = format!("requested key {:?}, got {:?}", planned.key, value.key);
        return Ok(AttemptOutcome::Wrong(detail));
    }
    if value.echo.as_deref() != Some(planned.number.to_string().as_str()) {
        let detail = format!("request {} got the response to {:?}", planned.number, value.echo);
        return Ok(AttemptOutcome::Wrong(detail));
    }
    Ok(AttemptOutcome::Correct(value.instance))
}

async fn check_file(
    response: Response<Incoming>,
    planned: &PlannedRequest,
    length: u64,
) -> Result<AttemptOutcome, hyper::Error> {
    let Some(instance) = header_text(response.headers(), "upstream-instance") else {
        return Ok(AttemptOutcome::Wrong("the response does not name its upstream".to_owned()));
    };
    let content = Content::new(&planned.key);
    let mut body = response.into_body();
    let mut offset = 0;
    while let Some(frame) = body.frame().await {
        let Ok(bytes) = frame?.into_data() else { continue };
        if !content.matches(offset, &bytes) {
            return Ok(AttemptOutcome::Wrong(format!(
                "file {:?} differs after {offset}",
                planned.key
            )));
        }
        offset += bytes.len() as u64;
    }
    if offset != length {
        let detail = format!("file {:?} has {offset} of {length} bytes", planned.key);
        return Ok(AttemptOutcome::Wrong(detail));
    }
    Ok(AttemptOutcome::Correct(instance))
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}

/// Returns the text of the innermost cause. It contains no addresses, so that equal causes are counted
/// together.
fn root_cause(error: &hyper::Error) -> String {
    let mut cause: &dyn std::error::Error = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string()
}
