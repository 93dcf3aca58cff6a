//! Entry point for the requests of callers and of forwarding peers.

use std::collections::BTreeMap;
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use rattanarch_admission::HedgeBudget;
use rattanarch_admission::LoadReport;
use rattanarch_admission::RetryBudget;
use rattanarch_ownership::Refusal;
use rattanarch_types::Priority;
use rattanarch_types::Route;
use rattanarch_types::Service;
use rattanarch_types::Sharing;
use rattanarch_types::hash_key;

use crate::connection::Pool;
use crate::process::Clock;
use crate::request::LoadMeter;
use crate::request::OutgoingBody;
use crate::request::RequestError;
use crate::request::RequestSettings;
use crate::request::RunningRequests;
use crate::request::admission::Admission;
use crate::request::body::Payload;
use crate::request::call::Call;
use crate::request::call::Key;
use crate::request::error_counts::ErrorCounts;
use crate::request::headers;
use crate::request::member_selector::MemberSelector;
use crate::request::peers::Destination;
use crate::request::peers::Peers;
use crate::request::repeat_cache::RepeatCache;
use crate::request::response;
use crate::request::target::Target;
use crate::version::View;
use crate::version::Views;

/// Number of upstream connections that are reserved for control calls.
const CONTROL_CONNECTIONS: u16 = 8;

/// Handles the requests of callers and of forwarding peers.
#[derive(Debug)]
pub struct RequestHandler {
    pub(super) settings: RequestSettings,
    pub(super) views: Views,
    pub(super) clock: Clock,
    pub(super) running: RunningRequests,
    pub(super) load: LoadMeter,
    pub(super) admission: Admission,
    /// Limits the retries of all requests of this service.
    pub(super) retry_budget: Mutex<RetryBudget>,
    pub(super) hedge_budget: Mutex<HedgeBudget>,
    pub(super) selector: MemberSelector,
    pub(super) repeats: RepeatCache,
    error_counts: ErrorCounts,
    pub(super) upstream: Arc<Destination>,
    pub(super) control: Arc<Pool>,
    pub(super) peers: Peers,
    /// Random prefix of request ids, so that ids of different processes differ.
    id_prefix: u64,
    id_counter: AtomicU64,
}

impl RequestHandler {
    /// A handler that acts on the current view of `views`.
    pub fn new(settings: RequestSettings, views: Views, clock: Clock) -> Arc<Self> {
        let connections = settings.connections.saturating_sub(CONTROL_CONNECTIONS).max(1);
        let handler = Self {
            running: RunningRequests::new(views.clone()),
            load: LoadMeter::default(),
            admission: Admission::new(settings.slots),
            retry_budget: Mutex::default(),
            hedge_budget: Mutex::default(),
            selector: MemberSelector::new(),
            repeats: RepeatCache::new(),
            error_counts: ErrorCounts::default(),
            upstream: Destination::new(settings.upstream, connections),
            control: Pool::new(settings.upstream, CONTROL_CONNECTIONS),
            peers: Peers::new(settings.peer_connections),
            id_prefix: RandomState::new().hash_one(std::process::id()),
            id_counter: AtomicU64::new(0),
            settings,
            views,
            clock,
        };
        Arc::new(handler)
    }

    /// Requests that run or may still run at the upstream.
    pub fn running(&self) -> &RunningRequests {
        &self.running
    }

    /// Meter of the requests that start at the upstream.
    pub fn load(&self) -> &LoadMeter {
        &self.load
    }

    /// Applies the upstream's report of its load, which corrects the measured load.
    pub fn report_load(&self, running: u32, slots: u32) {
        self.admission.apply_report(LoadReport { running, slots });
    }

    /// Number of requests that ended with an error of this daemon since its start, by reason.
    pub fn error_counts(&self) -> BTreeMap<String, u64> {
        self.error_counts.counts()
    }

    pub(crate) fn settings(&self) -> &RequestSettings {
        &self.settings
    }

    /// Handles one request. Every failure becomes a response with a verdict.
    pub(crate) async fn serve(&self, request: Request<Incoming>) -> Response<OutgoingBody> {
        let id = headers::caller_id(request.headers());
        let outcome = self.run(request).await;
        let mut response = outcome.unwrap_or_else(|error| self.error_response(&error));
        let fields = response.headers_mut();
        fields.remove(headers::REQUEST_ID);
        if let Some(id) = id {
            fields.insert(headers::REQUEST_ID, id);
        }
        response
    }

    fn error_response(&self, error: &RequestError) -> Response<OutgoingBody> {
        self.error_counts.record(error);
        let mut response = response::from_error(error);
        if let RequestError::Refused { refusal: Refusal::Elsewhere(owner), .. } = error {
            let view = self.views.current();
            if let Some(member) = view.serving.record.members.get(owner) {
                let address = headers::value(&member.caller.to_string());
                response.headers_mut().insert(headers::OWNER, address);
            }
        }
        response
    }

    async fn run(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<OutgoingBody>, RequestError> {
        let start = Instant::now();
        let view = self.views.current();
        let mut call = self.read_call(request, &view, start).await?;
        self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner).deposit();
        match call.key.as_ref().map(|key| key.hash) {
            Some(hash) => self.run_keyed(&mut call, hash).await,
            None => self.run_unkeyed(&mut call).await,
        }
    }

    /// Parses and checks the request's head, and buffers the body if it is small.
    async fn read_call(
        &self,
        request: Request<Incoming>,
        view: &View,
        start: Instant,
    ) -> Result<Call, RequestError> {
        let (parts, incoming) = request.into_parts();
        let Head { target, priority, key, timeout, .. } = self.read_head(&parts, view)?;
        let deadline = start + timeout;
        let forwarded = parts.headers.contains_key(headers::FORWARDED);
        let query = parts.uri.query().map(|q| format!("?{q}")).unwrap_or_default();
        let full_path = format!("{}{query}", parts.uri.path());
        let rest_path = format!("{}{query}", target.rest);
        let reading = Payload::read(incoming, &self.settings);
        let read = tokio::time::timeout_at(deadline.into(), reading).await;
        let payload = read.unwrap_or(Err(RequestError::BodyStalled))?;
        let mut fields = parts.headers;
        headers::strip_hop_by_hop(&mut fields);
        headers::strip_own(&mut fields);
        fields.remove(hyper::header::EXPECT);
        // The codec sets this field to the actual length.
        fields.remove(hyper::header::CONTENT_LENGTH);
        let method = parts.method;
        Ok(Call {
            method,
            full_path,
            rest_path,
            fields,
            key,
            priority,
            deadline,
            forwarded,
            payload,
        })
    }

    /// Parses and checks the head of a request.
    pub(super) fn read_head<'a>(
        &self,
        parts: &'a Parts,
        view: &View,
    ) -> Result<Head<'a>, RequestError> {
        if parts.version < hyper::Version::HTTP_11 {
            return Err(RequestError::UnsupportedVersion);
        }
        let target = Target::parse(parts.uri.path())?;
        let service = self.service(target, view)?;
        let route = target.route(&service)?;
        let key = call_key(target, &service, route, &parts.headers)?;
        let timeout = call_timeout(route, &parts.headers)?;
        let priority = route.priority;
        Ok(Head { target, service, priority, key, timeout })
    }

    fn service(&self, target: Target<'_>, view: &View) -> Result<Arc<Service>, RequestError> {
        if target.service != self.settings.service {
            return Err(RequestError::ServiceUnknown(target.service.to_owned()));
        }
        let service = view.service.as_ref().map(Arc::clone);
        service.ok_or_else(|| RequestError::NotReady(self.settings.service.clone()))
    }

    pub(super) fn next_id(&self) -> String {
        let count = self.id_counter.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}-{count:x}", self.id_prefix)
    }
}

/// What the head of a request says.
#[derive(Clone, Debug)]
pub(super) struct Head<'a> {
    pub(super) target: Target<'a>,
    pub(super) service: Arc<Service>,
    pub(super) priority: Priority,
    pub(super) key: Option<Key>,
    /// Time until the response head is due.
    pub(super) timeout: Duration,
}

/// The key of a request; `None` if the service is unkeyed.
fn call_key(
    target: Target<'_>,
    service: &Service,
    route: &Route,
    fields: &hyper::HeaderMap,
) -> Result<Option<Key>, RequestError> {
    if service.sharing == Sharing::Unkeyed {
        return Ok(None);
    }
    let text = target.key(route, fields)?;
    let hash = hash_key(&text);
    Ok(Some(Key { text, hash }))
}

/// Timeout for the response head: the smaller of the route's and the caller's.
fn call_timeout(route: &Route, fields: &hyper::HeaderMap) -> Result<Duration, RequestError> {
    match headers::millis(fields, &headers::DEADLINE_MS) {
        None => Ok(route.timeout),
        Some(Ok(requested)) => Ok(requested.min(route.timeout)),
        Some(Err(())) => Err(RequestError::DeadlineMalformed("rattanarch-deadline-ms")),
    }
}
