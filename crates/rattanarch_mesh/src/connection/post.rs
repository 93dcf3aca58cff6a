//! Questions of one daemon to another, apart from requests of callers.

use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::connection::Checkout;
use crate::connection::Pool;
use crate::connection::PooledConnection;
use crate::connection::SendError;
use crate::process::Shared;

/// Asks the daemon at `address` the question `body`; its answer has at most `limit` bytes.
///
/// # Errors
/// [`SendError::Unsent`] if the question has not left, [`SendError::Broken`] without an answer to it.
pub(crate) async fn post<T: DeserializeOwned>(
    shared: &Shared,
    (pool, address): (&Pool, SocketAddr),
    path: &str,
    body: &impl Serialize,
    limit: usize,
) -> Result<T, SendError> {
    let (link, answer) = ask((pool, address), path, body).await?;
    let body = Limited::new(answer.into_body(), limit).collect().await;
    let body = body.map_err(|error| broken(&error))?.to_bytes();
    pool.put_back(link);
    shared.meters.fetched(body.len());
    serde_json::from_slice(&body).map_err(|error| broken(&error))
}

/// How a question failed whose answer may be large.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FetchError {
    /// There is no answer.
    #[error(transparent)]
    Failed(#[from] SendError),
    /// Its answer was cut short or is malformed.
    #[error("the answer was cut short or is malformed: {0}")]
    Malformed(String),
}

/// The same for an answer that may be large: it takes what `time` allows for its announced length, and no longer than
/// `silence` for its head and between two pieces.
///
/// # Errors
/// As [`post`]; an answer that is late is broken off.
pub(crate) async fn post_large<T: DeserializeOwned>(
    shared: &Shared,
    there: (&Pool, SocketAddr),
    path: &str,
    body: &impl Serialize,
    limit: usize,
    silence: Duration,
    time: impl Fn(u64) -> Duration,
) -> Result<T, FetchError> {
    let asked = tokio::time::timeout(silence, ask(there, path, body)).await;
    let (link, answer) = asked.map_err(|_| broken(&"no head in time"))??;
    let mut rest = answer.into_body();
    let size = rest.size_hint().exact().unwrap_or_default();
    let reading = async {
        let mut whole = Vec::with_capacity(limit.min(size as usize));
        loop {
            let piece = tokio::time::timeout(silence, rest.frame()).await;
            let piece = piece.map_err(|_| {
                broken(&format_args!("silent after {} of {size} bytes", whole.len()))
            })?;
            let Some(piece) = piece else { return Ok(whole) };
            let piece = piece.map_err(|error| spoilt(&error))?.into_data().unwrap_or_default();
            if whole.len() + piece.len() > limit {
                return Err(spoilt(&"longer than allowed"));
            }
            whole.extend_from_slice(&piece);
        }
    };
    let whole = tokio::time::timeout(time(size), reading).await;
    let whole = whole.map_err(|_| broken(&format_args!("{size} bytes not in time")))??;
    there.0.put_back(link);
    shared.meters.fetched(whole.len());
    serde_json::from_slice(&whole).map_err(|error| spoilt(&error))
}

fn spoilt(reason: &dyn Display) -> FetchError {
    FetchError::Malformed(reason.to_string())
}

fn unsent(reason: &dyn Display) -> SendError {
    SendError::Unsent(reason.to_string())
}

fn broken(reason: &dyn Display) -> SendError {
    SendError::Broken(reason.to_string())
}

/// Sends a question and waits for the head of its answer.
async fn ask(
    (pool, address): (&Pool, SocketAddr),
    path: &str,
    body: &impl Serialize,
) -> Result<(PooledConnection, Response<Incoming>), SendError> {
    let body = serde_json::to_vec(body).map_err(|error| unsent(&error))?;
    let request = Request::post(path)
        .header(header::HOST, address.to_string())
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| unsent(&error))?;
    let link = pool.checkout(Checkout::Reuse).await;
    let mut link = link.map_err(|error| unsent(&error))?;
    let answer = link.send(request).await?;
    Ok((link, answer))
}

/// The question that `request` asks; `None` if it is cut short, malformed or longer than `limit` bytes.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
    limit: usize,
) -> Option<T> {
    let body = Limited::new(request.into_body(), limit).collect().await.ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}
