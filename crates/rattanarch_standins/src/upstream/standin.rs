//! HTTP interface of the upstream emulator.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use rattanarch_types::Fence;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::watch;

use crate::http::Body;
use crate::http::Handler;
use crate::http::HandlerResult;
use crate::http::Traffic;
use crate::http::empty;
use crate::http::json;
use crate::http::read_body;
use crate::http::with_body;
use crate::upstream::JournalEvent;
use crate::upstream::UpstreamFaults;
use crate::upstream::UpstreamSettings;
use crate::upstream::report::Health;
use crate::upstream::report::Load;
use crate::upstream::state::State;
use crate::upstream::work_request::handle_work;

/// Longest body of a control or test call.
const MAX_CONTROL_BYTES: usize = 64 << 10;

/// Body of `PUT /control/grant`.
#[derive(Debug, Deserialize)]
struct GrantOffer {
    /// Boot id of the upstream on whose clock `until_ms` is given.
    boot: u64,
    fence: Fence,
    until_ms: u64,
}

/// Emulator of an upstream.
#[derive(Debug)]
pub struct UpstreamStandin {
    shared: Arc<Shared>,
}

/// State shared by all requests of an upstream.
#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<State>,
    frozen: watch::Sender<bool>,
    /// Previous response, which a crossed request gets.
    previous: Mutex<Option<(Response<()>, Bytes)>>,
    traffic: Arc<Traffic>,
}

impl Shared {
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits while the upstream is frozen.
    pub(crate) async fn wait_unfrozen(&self) {
        // The sender is never dropped while `self` exists.
        let _ = self.frozen.subscribe().wait_for(|&frozen| !frozen).await;
    }

    /// Processing time of one request with the active faults.
    pub(crate) fn work_time(&self) -> Duration {
        let state = self.state();
        state.settings.work_time + Duration::from_millis(state.faults.delay_ms)
    }

    /// Stores the response for a later crossed request; returns the previous response if `cross`.
    pub(crate) fn swap_response(
        &self,
        response: Response<Body>,
        body: Bytes,
        cross: bool,
    ) -> Response<Body> {
        let (head, _) = response.into_parts();
        let kept = (Response::from_parts(head.clone(), ()), body.clone());
        let mut stored = self.previous.lock().unwrap_or_else(PoisonError::into_inner);
        let previous = stored.replace(kept);
        let (head, body) = match previous.filter(|_| cross) {
            Some((before, body)) => (before.into_parts().0, body),
            None => (head, body),
        };
        let mut response = with_body(StatusCode::OK, body);
        *response.headers_mut() = head.headers;
        response
    }
}

impl UpstreamStandin {
    /// Creates an upstream without a grant.
    pub fn new(settings: UpstreamSettings) -> Self {
        let shared = Shared {
            state: Mutex::new(State::new(settings)),
            frozen: watch::Sender::new(false),
            previous: Mutex::default(),
            traffic: Arc::default(),
        };
        Self { shared: Arc::new(shared) }
    }

    async fn control(&self, path: &str, request: Request<Incoming>) -> HandlerResult {
        let method = request.method().clone();
        let body = read_body(request.into_body(), MAX_CONTROL_BYTES).await?.unwrap_or_default();
        self.shared.wait_unfrozen().await;
        if let Some(id) = path.strip_prefix("requests/").filter(|_| method == Method::DELETE) {
            let cancelled = self.shared.state().cancel(id);
            return Ok(json(StatusCode::OK, &json!({"cancelled": cancelled})));
        }
        Ok(match (method, path) {
            (Method::GET, "clock") => self.clock(),
            (Method::PUT, "grant") => self.accept_grant(&body),
            (Method::GET, "health") => self.health(),
            (Method::GET, "load") => self.load(),
            (Method::GET, "announce") => self.announce(),
            _ => empty(StatusCode::NOT_FOUND),
        })
    }

    fn clock(&self) -> Response<Body> {
        let state = self.shared.state();
        let (clock, fence) = (state.clock(), state.grant.fence());
        json(StatusCode::OK, &json!({"boot": state.boot, "clock_ms": clock, "fence": fence}))
    }

    fn accept_grant(&self, body: &[u8]) -> Response<Body> {
        let offer: GrantOffer = match serde_json::from_slice(body) {
            Ok(offer) => offer,
            Err(error) => return bad_request(&error),
        };
        let mut state = self.shared.state();
        if offer.boot != state.boot {
            return json(StatusCode::PRECONDITION_FAILED, &json!({"boot": state.boot}));
        }
        let now = state.clock();
        if state.grant.accept(now, offer.fence, offer.until_ms).is_err() {
            return json(StatusCode::CONFLICT, &json!({"fence": state.grant.fence()}));
        }
        let GrantOffer { fence, until_ms, .. } = offer;
        state.record(JournalEvent::Grant { fence, until_ms });
        let older = state.older_running();
        json(StatusCode::OK, &json!({"clock_ms": now, "fence": fence, "older_running": older}))
    }

    fn health(&self) -> Response<Body> {
        let condition = self.shared.state().condition();
        json(StatusCode::OK, &Health::from(condition))
    }

    fn load(&self) -> Response<Body> {
        let mut state = self.shared.state();
        let condition = state.condition();
        json(StatusCode::OK, &Load::new(condition, state.settings.slots))
    }

    fn announce(&self) -> Response<Body> {
        let state = self.shared.state();
        let (service, slots) = (&state.settings.service, state.settings.slots);
        let checks_fence = state.settings.checks_fence;
        let announcement =
            json!({"service": service, "slots": slots, "checks_fence": checks_fence});
        json(StatusCode::OK, &announcement)
    }

    async fn test(&self, path: &str, request: Request<Incoming>) -> HandlerResult {
        let method = request.method().clone();
        let body = read_body(request.into_body(), MAX_CONTROL_BYTES).await?.unwrap_or_default();
        Ok(match (method, path) {
            (Method::GET, "journal") => json(StatusCode::OK, &self.shared.state().journal),
            (Method::POST, "faults") => self.change_faults(&body),
            _ => empty(StatusCode::NOT_FOUND),
        })
    }

    fn change_faults(&self, body: &[u8]) -> Response<Body> {
        let change: UpstreamFaults = match serde_json::from_slice(body) {
            Ok(change) => change,
            Err(error) => return bad_request(&error),
        };
        let mut state = self.shared.state();
        state.faults.apply(change);
        if let Some(cold) = change.cold {
            state.warmup.set_cold(cold);
        }
        if let Some(freeze) = change.freeze {
            self.shared.frozen.send_replace(freeze);
        }
        empty(StatusCode::OK)
    }
}

impl Handler for UpstreamStandin {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HandlerResult {
        let path = request.uri().path().to_owned();
        if let Some(control) = path.strip_prefix("/control/") {
            return self.control(control, request).await;
        }
        if let Some(test) = path.strip_prefix("/test/") {
            return self.test(test, request).await;
        }
        handle_work(Arc::clone(&self.shared), request).await
    }

    fn traffic(&self) -> Arc<Traffic> {
        Arc::clone(&self.shared.traffic)
    }
}

fn bad_request(error: &serde_json::Error) -> Response<Body> {
    json(StatusCode::BAD_REQUEST, &json!({"error": error.to_string()}))
}
