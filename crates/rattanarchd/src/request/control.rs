//! Calls to the control endpoints of the upstream beside this daemon.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header;
use serde::Deserialize;

use crate::connection::BusyConnection;
use crate::connection::Pool;
use crate::request::body;
use crate::request::headers;

/// Longest time for a control call; the upstream answers in milliseconds.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Largest answer of a control call, in bytes.
const MAX_ANSWER: usize = 4 * 1024;

/// What came of cancelling a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Cancelled {
    /// It ran, and was stopped.
    Stopped,
    /// It does not run now; it may still be on its way to the upstream.
    Absent,
    /// No answer.
    Unknown,
}

#[derive(Deserialize)]
struct CancelAnswer {
    cancelled: bool,
}

/// Asks the upstream behind `pool` to stop the request `id`.
pub(crate) async fn cancel(pool: &Arc<Pool>, id: &str) -> Cancelled {
    let path = format!("/control/requests/{id}");
    let Some(text) = call(pool, Method::DELETE, &path).await else { return Cancelled::Unknown };
    match serde_json::from_slice::<CancelAnswer>(&text) {
        Ok(CancelAnswer { cancelled: true }) => Cancelled::Stopped,
        Ok(CancelAnswer { cancelled: false }) => Cancelled::Absent,
        Err(_) => Cancelled::Unknown,
    }
}

/// Whether the other end answers anything on a fresh connection.
pub(crate) async fn answers(pool: &Arc<Pool>) -> bool {
    call(pool, Method::GET, "/control/health").await.is_some()
}

async fn call(pool: &Arc<Pool>, method: Method, path: &str) -> Option<Bytes> {
    tokio::time::timeout(TIMEOUT, exchange(pool, method, path)).await.ok().flatten()
}

async fn exchange(pool: &Arc<Pool>, method: Method, path: &str) -> Option<Bytes> {
    let mut link = pool.connect(Instant::now() + TIMEOUT).await.ok()?;
    let answer = send(&mut link, pool, method, path).await?;
    let body = Limited::new(answer.into_body(), MAX_ANSWER);
    let bytes = body.collect().await.ok()?.to_bytes();
    Some(bytes)
}

async fn send(
    link: &mut BusyConnection,
    pool: &Pool,
    method: Method,
    path: &str,
) -> Option<Response<Incoming>> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, headers::value(&pool.address().to_string()))
        .body(body::whole(Bytes::new()));
    link.send(request.ok()?).await.ok()
}
