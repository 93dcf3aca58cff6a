//! A parsed and checked request.

use std::time::Duration;
use std::time::Instant;

use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Uri;
use hyper::header;
use rattanarch_types::Fence;
use rattanarch_types::KeyHash;
use rattanarch_types::Priority;

use crate::connection::Pool;
use crate::request::OutgoingBody;
use crate::request::body::Payload;
use crate::request::headers;
use crate::request::repeat_cache::Operation;

/// Time by which the deadline of a forwarded request is earlier than the caller's, so that the
/// peer's verdict arrives in time.
const HOP_MARGIN: Duration = Duration::from_millis(5);

/// A caller's request, ready to be sent to an upstream or a peer.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    /// Path and query as the caller sent them.
    pub(crate) full_path: String,
    /// Path and query after the service.
    pub(crate) rest_path: String,
    /// Header fields to pass on, without hop-by-hop fields and those of this system.
    pub(crate) fields: HeaderMap,
    pub(crate) key: Option<Key>,
    pub(crate) priority: Priority,
    pub(crate) deadline: Instant,
    /// Whether a peer forwarded the request to this daemon.
    pub(crate) forwarded: bool,
    pub(crate) payload: Payload,
}

/// Key of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Key {
    pub(crate) text: String,
    pub(crate) hash: KeyHash,
}

impl Call {
    /// Whether the method is idempotent.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.method.is_idempotent()
    }

    /// The operation identified by the idempotency key; `None` if there is no such key, the method
    /// is idempotent, or the body is too large to be compared.
    pub(crate) fn operation(&self) -> Option<Operation> {
        let idempotency = headers::text(&self.fields, &headers::IDEMPOTENCY_KEY)?;
        let Payload::Buffered(body) = &self.payload else { return None };
        if self.is_idempotent() {
            return None;
        }
        let key = self.key.as_ref().map_or("", |key| &key.text);
        let content = (self.method.as_str(), self.rest_path.as_str(), &body[..]);
        Some(Operation::new(key, &idempotency, content))
    }

    /// A copy of the request; `None` if its body is not buffered.
    pub(crate) fn duplicate(&self) -> Option<Self> {
        let Payload::Buffered(body) = &self.payload else { return None };
        Some(Self {
            method: self.method.clone(),
            full_path: self.full_path.clone(),
            rest_path: self.rest_path.clone(),
            fields: self.fields.clone(),
            key: self.key.clone(),
            priority: self.priority,
            deadline: self.deadline,
            forwarded: self.forwarded,
            payload: Payload::Buffered(body.clone()),
        })
    }

    /// Time left until the response head is due.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// The request to send to the upstream of `pool`; `None` if its body was sent before, or the
    /// path is not a valid URI.
    pub(crate) fn for_upstream(
        &mut self,
        pool: &Pool,
        id: &str,
        fence: Option<Fence>,
    ) -> Option<Request<OutgoingBody>> {
        let left = self.time_left();
        let path = self.rest_path.clone();
        let mut request = self.build(pool, path, id, left)?;
        if let Some(fence) = fence {
            request.headers_mut().insert(headers::FENCE, headers::value(&fence.to_string()));
        }
        Some(request)
    }

    /// The request to send to the peer of `pool`; `None` if its body was sent before, or the path
    /// is not a valid URI.
    pub(crate) fn for_peer(
        &mut self,
        pool: &Pool,
        id: &str,
        me: u64,
    ) -> Option<Request<OutgoingBody>> {
        let left = self.time_left();
        let left = left.checked_sub(HOP_MARGIN).unwrap_or(left);
        let path = self.full_path.clone();
        let mut request = self.build(pool, path, id, left)?;
        request.headers_mut().insert(headers::FORWARDED, headers::value(&format!("{me:x}")));
        Some(request)
    }

    fn build(
        &mut self,
        pool: &Pool,
        path: String,
        id: &str,
        left: Duration,
    ) -> Option<Request<OutgoingBody>> {
        let uri = Uri::try_from(path).ok()?;
        let mut request = Request::new(self.payload.take()?);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = uri;
        let fields = request.headers_mut();
        *fields = self.fields.clone();
        fields.insert(header::HOST, headers::value(&pool.address().to_string()));
        fields.insert(headers::REQUEST_ID, headers::value(id));
        fields.insert(headers::DEADLINE_MS, headers::value(&left.as_millis().to_string()));
        if let Some(key) = &self.key {
            fields.insert(headers::KEY, headers::value(&key.text));
        }
        Some(request)
    }
}
