//! JSON requests from one daemon to another, apart from the requests of callers.

use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::connection::Checkout;
use crate::connection::HeldBody;
use crate::connection::Listener;
use crate::connection::Pool;
use crate::connection::PooledConnection;
use crate::connection::RequestBody;
use crate::connection::SendError;
use crate::process::Shared;

/// Posts `body` as JSON to the daemon at `address` and reads its response of at most `limit` bytes.
///
/// # Errors
/// [`SendError::Unsent`] if the request was not sent, [`SendError::Broken`] if it got no valid response.
pub(crate) async fn post<T: DeserializeOwned>(
    shared: &Shared,
    (pool, address): (&Pool, SocketAddr),
    path: &str,
    body: &impl Serialize,
    limit: usize,
) -> Result<T, SendError> {
    let (connection, response) = send_request((pool, address), path, body).await?;
    let body = Limited::new(response.into_body(), limit).collect().await;
    let body = body.map_err(|error| broken(&error))?.to_bytes();
    pool.put_back(connection);
    shared.meters.fetched(body.len());
    serde_json::from_slice(&body).map_err(|error| broken(&error))
}

/// Failure of a request whose response may be large.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FetchError {
    /// There is no response.
    #[error(transparent)]
    Failed(#[from] SendError),
    /// The response was cut short or is malformed.
    #[error("the response was cut short or is malformed: {0}")]
    Malformed(String),
}

/// Does the same as [`post`] for a response that may be large. Its body may take the time that `time` allows for the
/// announced length; its head and each chunk have to arrive within `idle_timeout`.
///
/// # Errors
/// As [`post`]; a late response is cancelled.
pub(crate) async fn post_large<T: DeserializeOwned>(
    shared: &Shared,
    target: (&Pool, SocketAddr),
    path: &str,
    body: &impl Serialize,
    limit: usize,
    idle_timeout: Duration,
    time: impl Fn(u64) -> Duration,
) -> Result<T, FetchError> {
    let sent = tokio::time::timeout(idle_timeout, send_request(target, path, body)).await;
    let (connection, response) = sent.map_err(|_| broken(&"no response head in time"))??;
    let mut body = response.into_body();
    let size = body.size_hint().exact().unwrap_or_default();
    let reading = async {
        let mut whole = Vec::with_capacity(limit.min(size as usize));
        loop {
            let chunk = tokio::time::timeout(idle_timeout, body.frame()).await;
            let chunk = chunk.map_err(|_| {
                broken(&format_args!("silent after {} of {size} bytes", whole.len()))
            })?;
            let Some(chunk) = chunk else { return Ok(whole) };
            let chunk = chunk.map_err(|error| malformed(&error))?.into_data().unwrap_or_default();
            if whole.len() + chunk.len() > limit {
                return Err(malformed(&"response longer than allowed"));
            }
            whole.extend_from_slice(&chunk);
        }
    };
    let whole = tokio::time::timeout(time(size), reading).await;
    let whole =
        whole.map_err(|_| broken(&format_args!("{size} bytes did not arrive in time")))??;
    target.0.put_back(connection);
    shared.meters.fetched(whole.len());
    serde_json::from_slice(&whole).map_err(|error| malformed(&error))
}

fn malformed(reason: &dyn Display) -> FetchError {
    FetchError::Malformed(reason.to_string())
}

fn unsent(reason: &dyn Display) -> SendError {
    SendError::Unsent(reason.to_string())
}

fn broken(reason: &dyn Display) -> SendError {
    SendError::Broken(reason.to_string())
}

/// Sends a request and waits for the head of its response.
async fn send_request(
    (pool, address): (&Pool, SocketAddr),
    path: &str,
    body: &impl Serialize,
) -> Result<(PooledConnection, Response<Incoming>), SendError> {
    let body = serde_json::to_vec(body).map_err(|error| unsent(&error))?;
    let request = Request::post(path)
        .header(header::HOST, address.to_string())
        .body(RequestBody::from(Bytes::from(body)))
        .map_err(|error| unsent(&error))?;
    let connection = pool.checkout(Checkout::Reuse).await;
    let mut connection = connection.map_err(|error| unsent(&error))?;
    let response = connection.send(request).await?;
    Ok((connection, response))
}

/// Reads the body of `request` as JSON; `None` if it is cut short, malformed or longer than `limit` bytes.
pub(crate) async fn read_json<T: DeserializeOwned>(
    shared: &Shared,
    request: Request<Incoming>,
    limit: usize,
) -> Option<T> {
    let body =
        HeldBody::read((&shared.held, Listener::Peers), request.into_body(), limit).await.ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}
