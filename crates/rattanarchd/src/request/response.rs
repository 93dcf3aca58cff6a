//! Answers that the daemon makes itself.

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

/// Longest `details` of a `Proxy-Status` field, in bytes.
const MAX_DETAILS: usize = 160;

/// The answer to a request that failed with `error`: problem details as of RFC 9457.
pub(crate) fn refuse(error: &RequestError) -> Response<OutgoingBody> {
    let text = problem(error);
    let mut answer = Response::new(body::whole(Bytes::from(text)));
    *answer.status_mut() = error.status();
    let fields = answer.headers_mut();
    let problem = HeaderValue::from_static("application/problem+json");
    fields.insert(header::CONTENT_TYPE, problem);
    set_verdict(fields, error.verdict());
    fields.insert(headers::PROXY_STATUS, proxy_status(error));
    if let Some(retry) = error.retry() {
        set_retry(fields, retry);
    }
    answer
}

/// The verdict that an answer carries.
pub(crate) fn verdict<B>(answer: &Response<B>) -> Option<Verdict> {
    headers::text(answer.headers(), &headers::VERDICT)?.parse().ok()
}

/// Sets the verdict field.
pub(crate) fn set_verdict(fields: &mut HeaderMap, verdict: Verdict) {
    fields.insert(headers::VERDICT, headers::value(&verdict.to_string()));
}

fn set_retry(fields: &mut HeaderMap, retry: Duration) {
    let millis = retry.as_millis().max(1);
    let seconds = millis.div_ceil(1_000);
    fields.insert(header::RETRY_AFTER, headers::value(&seconds.to_string()));
    fields.insert(headers::RETRY, headers::value(&millis.to_string()));
}

fn problem(error: &RequestError) -> String {
    let status = error.status();
    let problem = serde_json::json!({
        "title": status.canonical_reason().unwrap_or_default(),
        "status": status.as_u16(),
        "detail": error.to_string(),
        "verdict": error.verdict(),
        "retry_ms": error.retry().map(|r| r.as_millis() as u64),
    });
    problem.to_string()
}

fn proxy_status(error: &RequestError) -> HeaderValue {
    let mut details: String =
        error.to_string().chars().filter(|c| (' '..='~').contains(c)).collect();
    details.truncate(MAX_DETAILS);
    let details = details.replace('\\', "\\\\").replace('"', "\\\"");
    let kind = error.proxy_error();
    headers::value(&format!("rattanarch; error={kind}; details=\"{details}\""))
}
