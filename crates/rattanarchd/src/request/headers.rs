//! Header fields of requests and responses.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

/// Request id, which the upstream echoes in its response.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("rattanarch-request");
/// Fence under which the request runs.
pub(crate) const FENCE: HeaderName = HeaderName::from_static("rattanarch-fence");
/// Time left until the response head is due, in milliseconds.
pub(crate) const DEADLINE_MS: HeaderName = HeaderName::from_static("rattanarch-deadline-ms");
/// Key of a request.
pub(crate) const KEY: HeaderName = HeaderName::from_static("rattanarch-key");
/// Boot id of the daemon that forwarded the request. A forwarded request is not forwarded again.
pub(crate) const FORWARDED: HeaderName = HeaderName::from_static("rattanarch-forwarded");
/// Verdict of a response.
pub(crate) const VERDICT: HeaderName = HeaderName::from_static(rattanarch_types::Verdict::HEADER);
/// Address of the key's owner, for further requests with this key.
pub(crate) const OWNER: HeaderName = HeaderName::from_static("rattanarch-owner");
/// Like `Retry-After`, but in milliseconds.
pub(crate) const RETRY_MS: HeaderName = HeaderName::from_static("rattanarch-retry-ms");
/// Which proxy refused the request, and why (RFC 9209).
pub(crate) const PROXY_STATUS: HeaderName = HeaderName::from_static("proxy-status");
/// Identifies an operation that must not run twice.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Maximum length of a caller's request id.
const MAX_ID_BYTES: usize = 128;

/// Prefix of the field names of this system. Such fields are not passed through.
const OWN_PREFIX: &str = "rattanarch-";

/// Hop-by-hop fields, which apply to one connection only.
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

/// Removes the hop-by-hop fields, including those named in `Connection`.
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

/// Removes the fields of this system.
pub(crate) fn strip_own(headers: &mut HeaderMap) {
    let own: Vec<_> =
        headers.keys().filter(|n| n.as_str().starts_with(OWN_PREFIX)).cloned().collect();
    for name in own {
        headers.remove(name);
    }
}

/// The caller's request id; `None` if it is absent or too long to be echoed.
pub(crate) fn caller_id(headers: &HeaderMap) -> Option<HeaderValue> {
    headers.get(REQUEST_ID).filter(|v| v.len() <= MAX_ID_BYTES).cloned()
}

/// The value of a field as text; `None` if it is absent or not UTF-8.
pub(crate) fn text(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    std::str::from_utf8(headers.get(name)?.as_bytes()).ok().map(str::to_owned)
}

/// The value of a field in milliseconds; `None` if it is absent, `Some(Err)` if it is not a whole
/// number.
pub(crate) fn millis(headers: &HeaderMap, name: &HeaderName) -> Option<Result<Duration, ()>> {
    let value = headers.get(name)?;
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    Some(parsed.map(Duration::from_millis).ok_or(()))
}

/// `text` as a field value; `-` if it has characters that are not allowed in a field.
pub(crate) fn value(text: &str) -> HeaderValue {
    HeaderValue::from_bytes(text.as_bytes()).unwrap_or_else(|_| HeaderValue::from_static("-"))
}
