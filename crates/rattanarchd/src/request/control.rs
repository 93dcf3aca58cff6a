//! Client of the control endpoints of the upstream beside this daemon.

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

/// Timeout of a control call; the upstream responds within milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum body of a response to a control call.
const MAX_RESPONSE_BYTES: usize = 4 * 1024;

/// Result of cancelling a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CancelResult {
    /// The request was running and has been stopped.
    Stopped,
    /// The request is not running now, but may still be in transit to the upstream.
    NotRunning,
    /// There was no valid response.
    Unknown,
}

#[derive(Deserialize)]
struct CancelResponse {
    cancelled: bool,
}

/// Requests that the upstream of `pool` stop the request `id`.
pub(crate) async fn cancel(pool: &Arc<Pool>, id: &str) -> CancelResult {
    let path = format!("/control/requests/{id}");
    let Some(text) = call(pool, Method::DELETE, &path).await else { return CancelResult::Unknown };
    match serde_json::from_slice::<CancelResponse>(&text) {
        Ok(CancelResponse { cancelled: true }) => CancelResult::Stopped,
        Ok(CancelResponse { cancelled: false }) => CancelResult::NotRunning,
        Err(_) => CancelResult::Unknown,
    }
}

/// Whether the upstream or peer of `pool` sends any response on a new connection.
pub(crate) async fn responds(pool: &Arc<Pool>) -> bool {
    call(pool, Method::GET, "/control/health").await.is_some()
}

async fn call(pool: &Arc<Pool>, method: Method, path: &str) -> Option<Bytes> {
    tokio::time::timeout(CALL_TIMEOUT, exchange(pool, method, path)).await.ok().flatten()
}

async fn exchange(pool: &Arc<Pool>, method: Method, path: &str) -> Option<Bytes> {
    let mut connection = pool.connect(Instant::now() + CALL_TIMEOUT).await.ok()?;
    let response = send(&mut connection, pool, method, path).await?;
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
    let bytes = body.collect().await.ok()?.to_bytes();
    Some(bytes)
}

async fn send(
    connection: &mut BusyConnection,
    pool: &Pool,
    method: Method,
    path: &str,
) -> Option<Response<Incoming>> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, headers::value(&pool.address().to_string()))
        .body(body::full(Bytes::new()));
    connection.send(request.ok()?).await.ok()
}
