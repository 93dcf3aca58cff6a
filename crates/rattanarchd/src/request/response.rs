//! Responses that the daemon generates itself.

use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Response;
use hyper::header;
use hyper::header::HeaderValue;
use rattanarch_types::Verdict;

use crate::request::OutgoingBody;
use crate::request::RequestError;
use crate::request::body;
use crate::request::headers;

/// Maximum length of the `details` parameter of `Proxy-Status`, in bytes.
const MAX_DETAILS_BYTES: usize = 160;

/// The response to a request that failed with `error`, with problem details (RFC 9457).
pub(crate) fn from_error(error: &RequestError) -> Response<OutgoingBody> {
    let text = problem(error);
    let mut response = Response::new(body::full(Bytes::from(text)));
    *response.status_mut() = error.status();
    let fields = response.headers_mut();
    let problem = HeaderValue::from_static("application/problem+json");
    fields.insert(header::CONTENT_TYPE, problem);
    set_verdict(fields, error.verdict());
    fields.insert(headers::PROXY_STATUS, proxy_status(error));
    if let Some(retry_after) = error.retry_after() {
        set_retry_after(fields, retry_after);
    }
    response
}

/// The verdict in the header of `response`; `None` if it is absent or invalid.
pub(crate) fn verdict<B>(response: &Response<B>) -> Option<Verdict> {
    headers::text(response.headers(), &headers::VERDICT)?.parse().ok()
}

/// Sets the verdict header field.
pub(crate) fn set_verdict(fields: &mut HeaderMap, verdict: Verdict) {
    fields.insert(headers::VERDICT, headers::value(&verdict.to_string()));
}

fn set_retry_after(fields: &mut HeaderMap, retry_after: Duration) {
    let millis = retry_after.as_millis().max(1);
    let seconds = millis.div_ceil(1_000);
    fields.insert(header::RETRY_AFTER, headers::value(&seconds.to_string()));
    fields.insert(headers::RETRY_MS, headers::value(&millis.to_string()));
}

fn problem(error: &RequestError) -> String {
    let status = error.status();
    let problem = serde_json::json!({
        "title": status.canonical_reason().unwrap_or_default(),
        "status": status.as_u16(),
        "detail": error.to_string(),
        "verdict": error.verdict(),
        "retry_ms": error.retry_after().map(|r| r.as_millis() as u64),
    });
    problem.to_string()
}

fn proxy_status(error: &RequestError) -> HeaderValue {
    let mut details: String =
        error.to_string().chars().filter(|c| (' '..='~').contains(c)).collect();
    details.truncate(MAX_DETAILS_BYTES);
    let details = details.replace('\\', "\\\\").replace('"', "\\\"");
    let kind = error.proxy_error();
    headers::value(&format!("rattanarch; error={kind}; details=\"{details}\""))
}
