//! The way of a request from its head to its answer.

use std::collections::HashMap;
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use rattanarch_ownership::Refusal;
use rattanarch_types::BootId;
use rattanarch_types::Fence;
use rattanarch_types::KeyHash;
use rattanarch_types::Route;
use rattanarch_types::Service;
use rattanarch_types::Sharing;
use rattanarch_types::Verdict;
use rattanarch_types::hash_key;

use crate::connection::Pool;
use crate::process::Clock;
use crate::request::OutBody;
use crate::request::RequestError;
use crate::request::RequestSettings;
use crate::request::Running;
use crate::request::admission::Admission;
use crate::request::answer;
use crate::request::body::Payload;
use crate::request::exchange::Exchange;
use crate::request::exchange::Hold;
use crate::request::headers;
use crate::request::job::Job;
use crate::request::job::Key;
use crate::request::target::Target;
use crate::version::View;
use crate::version::Views;

/// Connections kept for control calls, out of those to the upstream.
const CONTROL_CONNECTIONS: u16 = 8;

/// Answers the requests of callers and of forwarding peers.
#[derive(Debug)]
pub struct RequestPath {
    settings: RequestSettings,
    views: Views,
    clock: Clock,
    running: Running,
    admission: Admission,
    upstream: Arc<Pool>,
    control: Arc<Pool>,
    /// Connections to peers, by their caller address; only of members of the current record.
    peers: Mutex<HashMap<SocketAddr, Arc<Pool>>>,
    /// Starts every request id, so that ids of different processes differ.
    origin: u64,
    count: AtomicU64,
}

impl RequestPath {
    /// A request path that acts on the current view of `views`.
    pub fn new(settings: RequestSettings, views: Views, clock: Clock) -> Arc<Self> {
        let connections = settings.connections.saturating_sub(CONTROL_CONNECTIONS).max(1);
        let path = Self {
            running: Running::new(views.clone()),
            admission: Admission::new(settings.slots),
            upstream: Pool::new(settings.upstream, connections),
            control: Pool::new(settings.upstream, CONTROL_CONNECTIONS),
            peers: Mutex::default(),
            origin: RandomState::new().hash_one(std::process::id()),
            count: AtomicU64::new(0),
            settings,
            views,
            clock,
        };
        Arc::new(path)
    }

    /// The requests that run at the upstream.
    pub fn running(&self) -> &Running {
        &self.running
    }

    pub(crate) fn settings(&self) -> &RequestSettings {
        &self.settings
    }

    /// Answers one request; every failure becomes an answer with its verdict.
    pub(crate) async fn serve(&self, request: Request<Incoming>) -> Response<OutBody> {
        let id = headers::caller_id(request.headers());
        let outcome = self.run(request).await;
        let mut answer = outcome.unwrap_or_else(|error| answer::refuse(&error));
        let fields = answer.headers_mut();
        fields.remove(headers::REQUEST);
        if let Some(id) = id {
            fields.insert(headers::REQUEST, id);
        }
        answer
    }

    async fn run(&self, request: Request<Incoming>) -> Result<Response<OutBody>, RequestError> {
        let start = Instant::now();
        let view = self.views.current();
        let mut job = self.read(request, &view, start).await?;
        match job.key.clone() {
            Some(key) => self.run_keyed(&mut job, key.hash).await,
            None => self.run_here(&mut job, None).await,
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
        let payload = Payload::read(incoming, &self.settings).await?;
        let mut fields = parts.headers;
        headers::strip_hop_by_hop(&mut fields);
        headers::strip_own(&mut fields);
        fields.remove(hyper::header::EXPECT);
        if payload.is_whole() {
            fields.remove(hyper::header::CONTENT_LENGTH);
        }
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

    async fn run_keyed(
        &self,
        job: &mut Job,
        hash: KeyHash,
    ) -> Result<Response<OutBody>, RequestError> {
        let owner = match self.run_here(job, Some(hash)).await {
            Err(RequestError::Refused { refusal: Refusal::Elsewhere(owner), .. }) => owner,
            outcome => return outcome,
        };
        if job.forwarded {
            let refusal = Refusal::Elsewhere(owner);
            return Err(RequestError::Refused { refusal, forwarded: true });
        }
        self.forward(job, hash, owner).await
    }

    /// Runs the request at the own upstream.
    async fn run_here(
        &self,
        job: &mut Job,
        hash: Option<KeyHash>,
    ) -> Result<Response<OutBody>, RequestError> {
        self.check(hash)?;
        let permit = self.admission.admit(job.priority, job.deadline).await?;
        let id = self.next_id();
        // Entered before the check: who gives up a key first publishes that and then looks here.
        let run = self.running.enter(id.clone(), hash);
        let fence = self.check(hash)?;
        run.set_fence(fence);
        let Some(request) = job.for_upstream(&self.upstream, &id, fence) else {
            return Err(RequestError::BodyMalformed);
        };
        let exchange = Exchange {
            pool: Arc::clone(&self.upstream),
            id,
            deadline: job.deadline,
            idempotent: job.is_idempotent(),
            body_timeout: self.settings.body_timeout,
            linger: self.settings.linger,
            control: Some(Arc::clone(&self.control)),
            checks_fence: self.settings.checks_fence,
            hold: Hold { _permit: Some(permit), run: Some(run) },
        };
        let mut head = exchange.run(request).await?;
        self.judge(&mut head)?;
        Ok(head)
    }

    /// Whether a request may start here now, and the fence it carries.
    fn check(&self, hash: Option<KeyHash>) -> Result<Option<Fence>, RequestError> {
        let Some(hash) = hash else { return Ok(None) };
        let view = self.views.current();
        let now = self.clock.now();
        let checked = view.serving.check(now, hash);
        checked.map_err(|refusal| RequestError::Refused { refusal, forwarded: false })?;
        if !self.settings.checks_fence {
            return Ok(None);
        }
        let grant = view.grant.filter(|grant| now < grant.until).ok_or(RequestError::NoGrant)?;
        Ok(Some(grant.fence))
    }

    /// Reads the upstream's own verdict.
    fn judge(&self, head: &mut Response<OutBody>) -> Result<(), RequestError> {
        let verdict = headers::text(head.headers(), &headers::VERDICT);
        if verdict.as_deref() == Some(&Verdict::NotRun.to_string()) {
            let retry = headers::millis(head.headers(), &headers::RETRY).and_then(Result::ok);
            let status = head.status().as_u16();
            return Err(RequestError::UpstreamRefused { status, retry });
        }
        let fields = head.headers_mut();
        headers::strip_own(fields);
        answer::set_verdict(fields, Verdict::Done);
        let view = self.views.current();
        if let Some(member) = view.serving.record.members.get(&view.serving.me) {
            fields.insert(headers::OWNER, headers::value(&member.caller.to_string()));
        }
        Ok(())
    }

    /// Sends the request on to the member that owns its key.
    async fn forward(
        &self,
        job: &mut Job,
        hash: KeyHash,
        owner: BootId,
    ) -> Result<Response<OutBody>, RequestError> {
        let _ = hash;
        let view = self.views.current();
        let Some(member) = view.serving.record.members.get(&owner) else {
            let refusal = Refusal::Unowned;
            return Err(RequestError::Refused { refusal, forwarded: false });
        };
        let address = member.caller;
        let pool = self.peer(address);
        let id = self.next_id();
        let Some(request) = job.for_peer(&pool, &id, view.serving.me) else {
            return Err(RequestError::BodyMalformed);
        };
        let exchange = Exchange {
            pool,
            id,
            deadline: job.deadline,
            idempotent: job.is_idempotent(),
            body_timeout: self.settings.body_timeout,
            linger: self.settings.linger,
            control: None,
            checks_fence: false,
            hold: Hold::default(),
        };
        let mut head = exchange.run(request).await?;
        if !head.headers().contains_key(headers::VERDICT) {
            return Err(RequestError::Crossed);
        }
        let fields = head.headers_mut();
        fields.insert(headers::OWNER, headers::value(&address.to_string()));
        Ok(head)
    }

    /// The connections to the peer at `address`.
    fn peer(&self, address: SocketAddr) -> Arc<Pool> {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        if !peers.contains_key(&address) {
            let view = self.views.current();
            let members = &view.serving.record.members;
            peers.retain(|known, _| members.values().any(|member| member.caller == *known));
        }
        let connections = self.settings.peer_connections;
        let pool = peers.entry(address).or_insert_with(|| Pool::new(address, connections));
        Arc::clone(pool)
    }

    fn next_id(&self) -> String {
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
