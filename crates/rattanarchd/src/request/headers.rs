//! Header fields of requests and answers.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

/// Id of a request; the upstream echoes it in its answer.
pub(crate) const REQUEST: HeaderName = HeaderName::from_static("rattanarch-request");
/// Fencing token of keyed requests.
pub(crate) const FENCE: HeaderName = HeaderName::from_static("rattanarch-fence");
/// Time left for the answer's head, in milliseconds.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("rattanarch-deadline-ms");
/// Key of the request.
pub(crate) const KEY: HeaderName = HeaderName::from_static("rattanarch-key");
/// Boot id of the daemon that forwarded the request; such a request is not forwarded again.
pub(crate) const FORWARDED: HeaderName = HeaderName::from_static("rattanarch-forwarded");
/// Verdict of an answer.
pub(crate) const VERDICT: HeaderName = HeaderName::from_static(rattanarch_types::Verdict::HEADER);
/// Address to ask for this key next time.
pub(crate) const OWNER: HeaderName = HeaderName::from_static("rattanarch-owner");
/// Like `Retry-After`, in milliseconds.
pub(crate) const RETRY: HeaderName = HeaderName::from_static("rattanarch-retry-ms");
/// Who refused the request, and why: RFC 9209.
pub(crate) const PROXY_STATUS: HeaderName = HeaderName::from_static("proxy-status");
/// Names an operation that must not repeat.
pub(crate) const IDEMPOTENCY: HeaderName = HeaderName::from_static("idempotency-key");

/// Longest id that a caller may give its request, in bytes.
const MAX_ID: usize = 128;

/// Start of the names of this system's own fields, which callers may not pass through.
const OWN_PREFIX: &str = "rattanarch-";

/// Fields that hold for one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes the fields that hold for one connection only, those that `Connection` names included.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let mut named = Vec::new();
    for value in headers.get_all(header::CONNECTION) {
        let Ok(value) = value.to_str() else { continue };
        named.extend(value.split(',').filter_map(|n| n.trim().parse::<HeaderName>().ok()));
    }
    for name in named.into_iter().chain(HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Removes this system's own fields.
pub(crate) fn strip_own(headers: &mut HeaderMap) {
    let own: Vec<_> =
        headers.keys().filter(|n| n.as_str().starts_with(OWN_PREFIX)).cloned().collect();
    for name in own {
        headers.remove(name);
    }
}

/// The id that the caller gave its request, if it is short enough to be echoed.
pub(crate) fn caller_id(headers: &HeaderMap) -> Option<HeaderValue> {
    headers.get(REQUEST).filter(|v| v.len() <= MAX_ID).cloned()
}

/// A field's text; `None` if it is absent or not UTF-8.
pub(crate) fn text(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    std::str::from_utf8(headers.get(name)?.as_bytes()).ok().map(str::to_owned)
}

/// A field that counts milliseconds; `None` if it is absent, `Some(Err)` if it is no number.
pub(crate) fn millis(headers: &HeaderMap, name: &HeaderName) -> Option<Result<Duration, ()>> {
    let value = headers.get(name)?;
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    Some(parsed.map(Duration::from_millis).ok_or(()))
}

/// `text` as a field value; anything that does not fit in a field is left out.
pub(crate) fn value(text: &str) -> HeaderValue {
    HeaderValue::from_bytes(text.as_bytes()).unwrap_or_else(|_| HeaderValue::from_static("-"))
}
