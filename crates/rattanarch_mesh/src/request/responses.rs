//! Responses that the daemon builds itself.

use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderValue;
use rattanarch_adapter::headers::set_retry_after;
use rattanarch_process::random_fraction;
use serde::Serialize;

use crate::connection::ResponseBody;
use crate::request::Failure;
use crate::request::Reason;
use crate::request::Refusal;

/// Shortest delay that a refused caller is told: the cause of a refusal lasts longer than a round trip.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Jitter of the delay as a ratio, so that callers do not retry all at once. Scheduled times have none: it would take
/// callers past their turn.
const RETRY_AFTER_JITTER: f64 = 0.4;

/// A response with `status` and a short text.
pub(crate) fn plain(status: StatusCode, text: String) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(text));
    *response.status_mut() = status;
    response
}

/// A response to another daemon with `value` as JSON.
pub(crate) fn serialized(value: &impl Serialize) -> Response<ResponseBody> {
    // Strings, numbers and lists always have a JSON form.
    json(StatusCode::OK, serde_json::to_vec(value).unwrap_or_default())
}

/// A response with `status` and a JSON body.
pub(crate) fn json(status: StatusCode, body: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(body));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// HTTP status of a refusal.
pub(crate) fn refusal_status(refusal: Refusal) -> StatusCode {
    match refusal.reason {
        Reason::OverQuota => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Delay that a refused caller is told by a daemon with or without the retry schedule. `draw` is a random number from 0
/// to 1, which sets the jitter.
pub(crate) fn retry_after(refusal: Refusal, has_retry_schedule: bool, draw: f64) -> Duration {
    let is_scheduled = refusal.reason.is_scheduled(has_retry_schedule);
    let jitter = if is_scheduled { 0.0 } else { RETRY_AFTER_JITTER };
    refusal.retry_after.max(MIN_RETRY_AFTER).mul_f64(1.0 + jitter * draw)
}

/// The response to a request that has not run, by a daemon with or without the retry schedule.
pub(crate) fn refused(refusal: Refusal, has_retry_schedule: bool) -> Response<ResponseBody> {
    let mut response = plain(refusal_status(refusal), refusal.reason.to_string());
    let retry_after = retry_after(refusal, has_retry_schedule, random_fraction());
    set_retry_after(response.headers_mut(), retry_after);
    response
}

/// The response to a request that may have run.
pub(crate) fn failed(failure: &Failure) -> Response<ResponseBody> {
    plain(failure.status(), failure.to_string())
}
