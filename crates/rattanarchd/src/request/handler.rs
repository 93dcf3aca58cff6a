//! The way of a request from its head to its answer.

use std::collections::BTreeMap;
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use rattanarch_admission::HedgeBudget;
use rattanarch_admission::LoadReport;
use rattanarch_admission::RetryBudget;
use rattanarch_ownership::Refusal;
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
use crate::request::call::Job;
use crate::request::call::Key;
use crate::request::headers;
use crate::request::member_selector::Chooser;
use crate::request::peers::Peer;
use crate::request::peers::Peers;
use crate::request::refusals::Refusals;
use crate::request::repeat_cache::Repeats;
use crate::request::response;
use crate::request::target::Target;
use crate::version::View;
use crate::version::Views;

/// Connections kept for control calls, out of those to the upstream.
const CONTROL_CONNECTIONS: u16 = 8;

/// Answers the requests of callers and of forwarding peers.
#[derive(Debug)]
pub struct RequestHandler {
    pub(super) settings: RequestSettings,
    pub(super) views: Views,
    pub(super) clock: Clock,
    pub(super) running: RunningRequests,
    pub(super) load: LoadMeter,
    pub(super) admission: Admission,
    /// Bound on the retries of the service.
    pub(super) budget: Mutex<RetryBudget>,
    pub(super) hedges: Mutex<HedgeBudget>,
    pub(super) chooser: Chooser,
    pub(super) repeats: Repeats,
    refusals: Refusals,
    pub(super) upstream: Arc<Peer>,
    pub(super) control: Arc<Pool>,
    pub(super) peers: Peers,
    /// Starts every request id, so that ids of different processes differ.
    origin: u64,
    count: AtomicU64,
}

impl RequestHandler {
    /// A request path that acts on the current view of `views`.
    pub fn new(settings: RequestSettings, views: Views, clock: Clock) -> Arc<Self> {
        let connections = settings.connections.saturating_sub(CONTROL_CONNECTIONS).max(1);
        let path = Self {
            running: RunningRequests::new(views.clone()),
            load: LoadMeter::default(),
            admission: Admission::new(settings.slots),
            budget: Mutex::default(),
            hedges: Mutex::default(),
            chooser: Chooser::new(),
            repeats: Repeats::new(),
            refusals: Refusals::default(),
            upstream: Peer::new(settings.upstream, connections),
            control: Pool::new(settings.upstream, CONTROL_CONNECTIONS),
            peers: Peers::new(settings.peer_connections),
            origin: RandomState::new().hash_one(std::process::id()),
            count: AtomicU64::new(0),
            settings,
            views,
            clock,
        };
        Arc::new(path)
    }

    /// The requests that run at the upstream.
    pub fn running(&self) -> &RunningRequests {
        &self.running
    }

    /// Counts of the requests that started at the upstream.
    pub fn load(&self) -> &LoadMeter {
        &self.load
    }

    /// Takes the upstream's own report of its load, which corrects what was measured here.
    pub fn report_load(&self, running: u32, slots: u32) {
        self.admission.report(LoadReport { running, slots });
    }

    /// Requests that this daemon has refused since its start, by reason.
    pub fn refusals(&self) -> BTreeMap<String, u64> {
        self.refusals.read()
    }

    pub(crate) fn settings(&self) -> &RequestSettings {
        &self.settings
    }

    /// Answers one request; every failure becomes an answer with its verdict.
    pub(crate) async fn serve(&self, request: Request<Incoming>) -> Response<OutgoingBody> {
        let id = headers::caller_id(request.headers());
        let outcome = self.run(request).await;
        let mut answer = outcome.unwrap_or_else(|error| self.refuse(&error));
        let fields = answer.headers_mut();
        fields.remove(headers::REQUEST);
        if let Some(id) = id {
            fields.insert(headers::REQUEST, id);
        }
        answer
    }

    fn refuse(&self, error: &RequestError) -> Response<OutgoingBody> {
        self.refusals.note(error);
        let mut answer = response::refuse(error);
        if let RequestError::Refused { refusal: Refusal::Elsewhere(owner), .. } = error {
            let view = self.views.current();
            if let Some(member) = view.serving.record.members.get(owner) {
                let address = headers::value(&member.caller.to_string());
                answer.headers_mut().insert(headers::OWNER, address);
            }
        }
        answer
    }

    async fn run(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<OutgoingBody>, RequestError> {
        let start = Instant::now();
        let view = self.views.current();
        let mut job = self.read(request, &view, start).await?;
        self.budget.lock().unwrap_or_else(PoisonError::into_inner).deposit();
        match job.key.as_ref().map(|key| key.hash) {
            Some(hash) => self.run_keyed(&mut job, hash).await,
            None => self.run_unkeyed(&mut job).await,
        }
    }

    /// Reads the request's head and a small body.
    async fn read(
        &self,
        request: Request<Incoming>,
        view: &View,
        start: Instant,
    ) -> Result<Job, RequestError> {
        let (parts, incoming) = request.into_parts();
        if parts.version < hyper::Version::HTTP_11 {
            return Err(RequestError::VersionOld);
        }
        let target = Target::parse(parts.uri.path())?;
        let service = self.service(target, view)?;
        let route = target.route(&service)?;
        let key = key(target, &service, route, &parts.headers)?;
        let deadline = start + timeout(route, &parts.headers)?;
        let forwarded = parts.headers.contains_key(headers::FORWARDED);
        let query = parts.uri.query().map(|q| format!("?{q}")).unwrap_or_default();
        let full_path = format!("{}{query}", parts.uri.path());
        let rest_path = format!("{}{query}", target.rest);
        let priority = route.priority;
        let reading = Payload::read(incoming, &self.settings);
        let read = tokio::time::timeout_at(deadline.into(), reading).await;
        let payload = read.unwrap_or(Err(RequestError::BodyStalled))?;
        let mut fields = parts.headers;
        headers::strip_hop_by_hop(&mut fields);
        headers::strip_own(&mut fields);
        fields.remove(hyper::header::EXPECT);
        // The codec states the length that the body has.
        fields.remove(hyper::header::CONTENT_LENGTH);
        let method = parts.method;
        Ok(Job {
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

    fn service(&self, target: Target<'_>, view: &View) -> Result<Arc<Service>, RequestError> {
        if target.service != self.settings.service {
            return Err(RequestError::ServiceUnknown(target.service.to_owned()));
        }
        let service = view.service.as_ref().map(Arc::clone);
        service.ok_or_else(|| RequestError::NotReady(self.settings.service.clone()))
    }

    pub(super) fn next_id(&self) -> String {
        let count = self.count.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}-{count:x}", self.origin)
    }
}

/// The key of a request to a keyed service.
fn key(
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

/// The time for the answer's head: the route's, or the caller's if that is less.
fn timeout(route: &Route, fields: &hyper::HeaderMap) -> Result<std::time::Duration, RequestError> {
    match headers::millis(fields, &headers::DEADLINE) {
        None => Ok(route.timeout),
        Some(Ok(asked)) => Ok(asked.min(route.timeout)),
        Some(Err(())) => Err(RequestError::DeadlineMalformed("rattanarch-deadline-ms")),
    }
}
