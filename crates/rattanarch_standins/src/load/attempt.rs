//! One attempt at a request, and what came of it.

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
use crate::load::connections::Connection;
use crate::load::connections::Connections;

/// Longest JSON answer that is read, in bytes.
const JSON_LIMIT: usize = 64 << 10;

/// What came of an attempt.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// The whole right answer, from the named instance.
    Right(String),
    /// An answer with status 2xx that is not the request's own or not whole without saying so.
    Wrong(String),
    /// Another status.
    Refused(Refused),
    /// Nothing was sent.
    NotSent(String),
    /// It was sent, and no whole answer came.
    Broken(String),
}

/// An answer with a status other than 2xx.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refused {
    pub(crate) status: StatusCode,
    /// `None` without the header; then the request may have run.
    pub(crate) verdict: Option<Verdict>,
    pub(crate) retry_after: Option<Duration>,
}

impl Reply {
    /// Whether the request may have run, as far as the caller can know.
    pub(crate) fn verdict(&self) -> Verdict {
        match self {
            Self::Right(_) | Self::Wrong(_) => Verdict::Done,
            Self::Refused(refused) => refused.verdict.unwrap_or(Verdict::MayHaveRun),
            Self::NotSent(_) => Verdict::NotRun,
            Self::Broken(_) => Verdict::MayHaveRun,
        }
    }
}

/// Sends `planned` to `target` once.
pub(crate) async fn attempt(
    connections: &Connections,
    target: SocketAddr,
    planned: &PlannedRequest,
    timeout: Duration,
) -> Reply {
    let connecting = tokio::time::timeout(timeout, connections.take(target));
    let mut connection = match connecting.await {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => return Reply::NotSent(error.to_string()),
        Err(_) => return Reply::NotSent("connect: timed out".to_owned()),
    };
    let exchange = tokio::time::timeout(timeout, exchange(&mut connection, target, planned));
    match exchange.await {
        Ok(Ok(reply)) => {
            // A wrong answer leaves the connection in doubt.
            if !matches!(reply, Reply::Wrong(_)) && !connection.is_closed() {
                connections.put(target, connection);
            }
            reply
        }
        Ok(Err(error)) => Reply::Broken(describe(&error)),
        Err(_) => Reply::Broken("timed out".to_owned()),
    }
}

async fn exchange(
    connection: &mut Connection,
    target: SocketAddr,
    planned: &PlannedRequest,
) -> Result<Reply, hyper::Error> {
    let Ok(request) = request(target, planned) else {
        return Ok(Reply::NotSent("the request cannot be written".to_owned()));
    };
    connection.ready().await?;
    let answer = connection.send_request(request).await?;
    if !answer.status().is_success() {
        return refused(answer).await;
    }
    match planned.file_bytes {
        Some(length) => check_file(answer, planned, length).await,
        None => check_value(answer, planned).await,
    }
}

fn request(
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

/// The idempotency key of a planned write, unique in its run.
pub(crate) fn idempotency_key(planned: &PlannedRequest) -> String {
    format!("{}-{:x}", planned.number, planned.draw)
}

async fn refused(answer: Response<Incoming>) -> Result<Reply, hyper::Error> {
    let status = answer.status();
    let verdict = header(answer.headers(), Verdict::HEADER).and_then(|text| text.parse().ok());
    let millis = header(answer.headers(), "rattanarch-retry-ms").and_then(|text| text.parse().ok());
    let seconds = header(answer.headers(), "retry-after").and_then(|text| text.parse().ok());
    // Read to its end, so that the connection can be used again.
    answer.into_body().collect().await?;
    let retry_after = millis.map(Duration::from_millis).or(seconds.map(Duration::from_secs));
    Ok(Reply::Refused(Refused { status, verdict, retry_after }))
}

/// Body of a value's answer.
#[derive(Deserialize)]
struct Value {
    key: String,
    echo: Option<String>,
    instance: String,
}

async fn check_value(
    answer: Response<Incoming>,
    planned: &PlannedRequest,
) -> Result<Reply, hyper::Error> {
    let body = answer.into_body().collect().await?.to_bytes();
    if body.len() > JSON_LIMIT {
        return Ok(Reply::Wrong("the answer is too long".to_owned()));
    }
    let value: Value = match serde_json::from_slice(&body) {
        Ok(value) => value,
        Err(error) => return Ok(Reply::Wrong(format!("the answer is malformed: {error}"))),
    };
    if value.key != planned.key {
        let wrong = format!("asked for key {:?}, got {:?}", planned.key, value.key);
        return Ok(Reply::Wrong(wrong));
    }
    if value.echo.as_deref() != Some(planned.number.to_string().as_str()) {
        let wrong = format!("request {} got the answer of {:?}", planned.number, value.echo);
        return Ok(Reply::Wrong(wrong));
    }
    Ok(Reply::Right(value.instance))
}

async fn check_file(
    answer: Response<Incoming>,
    planned: &PlannedRequest,
    length: u64,
) -> Result<Reply, hyper::Error> {
    let Some(instance) = header(answer.headers(), "upstream-instance") else {
        return Ok(Reply::Wrong("the answer does not name its upstream".to_owned()));
    };
    let content = Content::new(&planned.key);
    let mut body = answer.into_body();
    let mut offset = 0;
    while let Some(frame) = body.frame().await {
        let Ok(bytes) = frame?.into_data() else { continue };
        if !content.matches(offset, &bytes) {
            return Ok(Reply::Wrong(format!("file {:?} differs after {offset}", planned.key)));
        }
        offset += bytes.len() as u64;
    }
    if offset != length {
        let wrong = format!("file {:?} has {offset} of {length} bytes", planned.key);
        return Ok(Reply::Wrong(wrong));
    }
    Ok(Reply::Right(instance))
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}

/// The innermost cause, which names no addresses and so groups well.
fn describe(error: &hyper::Error) -> String {
    let mut cause: &dyn std::error::Error = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string()
}
