//! One request on its way to an upstream.

use std::cell::Cell;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Uri;
use hyper::header;
use hyper::header::HeaderName;
use rattanarch_routing::ResponseSize;
use rattanarch_types::Moment;
use rattanarch_types::Rank;
use rattanarch_types::ServiceName;

/// Header fields that concern one connection only (RFC 9110, section 7.6.1).
const CONNECTION_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// One request on its way to an upstream: all that the daemon beside it needs to know.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// The caller's id of it, for logs.
    pub(crate) id: String,
    pub(crate) method: Method,
    /// Path and query as the caller sent them.
    pub(crate) uri: Uri,
    /// The caller's header, without what concerns one connection.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Service that is to run it.
    pub(crate) service: ServiceName,
    /// Service beside which it began.
    pub(crate) origin: ServiceName,
    pub(crate) rank: Rank,
    /// Whether it may run more than once.
    pub(crate) idempotent: bool,
    /// When its answer should be there.
    pub(crate) objective: Moment,
    /// When its caller is answered in any case.
    pub(crate) deadline: Moment,
    pub(crate) key: Option<u16>,
    /// How large its answer is expected to be.
    pub(crate) size: ResponseSize,
    /// Whether its next run counts as a repeat: an upstream has had the request before, or it is a call of
    /// such a run. The calls of that run count as repeats too.
    pub(crate) retry: Cell<bool>,
}

/// Removes the fields that concern one connection, and those that the `Connection` field names.
pub(crate) fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
}
