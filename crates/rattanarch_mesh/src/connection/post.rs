//! Questions of one daemon to another, apart from requests of callers.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::connection::Checkout;
use crate::connection::Pool;
use crate::connection::SendError;
use crate::process::Shared;

/// Asks the daemon at `address` the question `body`; its answer has at most `limit` bytes.
///
/// # Errors
/// [`SendError::Unsent`] if the question has not left, [`SendError::Broken`] without an answer to it.
pub(crate) async fn post<T: DeserializeOwned>(
    shared: &Shared,
    (pool, address): (&Rc<Pool>, SocketAddr),
    path: &str,
    body: &impl Serialize,
    limit: usize,
) -> Result<T, SendError> {
    let unsent = |reason: &dyn std::fmt::Display| SendError::Unsent(reason.to_string());
    let broken = |reason: &dyn std::fmt::Display| SendError::Broken(reason.to_string());
    let body = serde_json::to_vec(body).map_err(|error| unsent(&error))?;
    let request = Request::post(path)
        .header(header::HOST, address.to_string())
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| unsent(&error))?;
    let link = pool.checkout(Checkout::Reuse).await;
    let mut link = link.map_err(|error| unsent(&error))?;
    let answer = link.send(request).await?;
    let body = Limited::new(answer.into_body(), limit).collect().await;
    let body = body.map_err(|error| broken(&error))?.to_bytes();
    pool.put_back(link);
    shared.meters.fetched(body.len());
    serde_json::from_slice(&body).map_err(|error| broken(&error))
}

/// The question that `request` asks; `None` if it is cut short, malformed or longer than `limit` bytes.
pub(crate) async fn read_question<T: DeserializeOwned>(
    request: Request<Incoming>,
    limit: usize,
) -> Option<T> {
    let body = Limited::new(request.into_body(), limit).collect().await.ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}
