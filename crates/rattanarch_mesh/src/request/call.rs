//! A request with its routing data.

use std::cell::Cell;
use std::cell::OnceCell;

use hyper::HeaderMap;
use hyper::Method;
use hyper::Uri;
use hyper::header;
use hyper::header::HeaderName;
use rattanarch_quarantine::Fingerprint;
use rattanarch_quarantine::RequestContent;
use rattanarch_routing::ResponseSize;
use rattanarch_types::FlowId;
use rattanarch_types::Moment;
use rattanarch_types::Rank;
use rattanarch_types::ServiceName;
use rattanarch_types::Version;

use crate::connection::HeldBody;

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

/// A request with the routing data that the daemon beside its upstream needs.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// The caller's id of the request, for logs.
    pub(crate) id: String,
    pub(crate) method: Method,
    /// Path and query as the caller sent them.
    pub(crate) uri: Uri,
    /// The caller's header fields, without those of a single connection.
    pub(crate) headers: HeaderMap,
    pub(crate) body: HeldBody,
    /// Service that the request is sent to.
    pub(crate) service: ServiceName,
    /// Service of the daemon that received the request from its caller.
    pub(crate) origin_service: ServiceName,
    pub(crate) rank: Rank,
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
    /// When the response should be there.
    pub(crate) objective: Moment,
    /// When the caller gets a response in any case.
    pub(crate) deadline: Moment,
    pub(crate) key: Option<u16>,
    /// Version of the record by which another daemon chose this one; 0 if none did, or if it did not tell.
    pub(crate) version: Version,
    /// Group of requests that shares the upstream fairly with others.
    pub(crate) flow: Option<FlowId>,
    /// Expected size of the response.
    pub(crate) size: ResponseSize,
    /// Whether the next run counts as a retry: an upstream may have run the request before, or it is a
    /// nested call of such a run. Nested calls of that run count as retries too.
    pub(crate) retry: Cell<bool>,
    /// Fingerprint of the content, once it was needed.
    pub(crate) fingerprint: CachedFingerprint,
}

/// The parts of a fingerprint that have been computed.
#[derive(Clone, Debug, Default)]
pub(crate) struct CachedFingerprint {
    head: OnceCell<u64>,
    whole: OnceCell<Fingerprint>,
}

impl Call {
    /// Fingerprint of the content.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        let compute = || Fingerprint::of_parts(self.fingerprint_head(), self.body.blocks());
        *self.fingerprint.whole.get_or_init(compute)
    }

    /// The part of the fingerprint that leaves out the body.
    pub(crate) fn fingerprint_head(&self) -> u64 {
        *self.fingerprint.head.get_or_init(|| self.content().hash())
    }

    fn content(&self) -> RequestContent<'_> {
        let host = self.headers.get(header::HOST).and_then(|host| host.to_str().ok());
        RequestContent {
            service: &self.service,
            method: self.method.as_str(),
            host: host.or(self.uri.host()).unwrap_or_default(),
            target: self.uri.path_and_query().map_or("/", |target| target.as_str()),
            account: self.flow.unwrap_or_default(),
        }
    }
}

/// Removes the fields of a single connection, and those that the `Connection` field names.
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
