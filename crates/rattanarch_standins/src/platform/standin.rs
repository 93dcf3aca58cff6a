//! HTTP interface of the platform emulator.

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
use hyper::header::AUTHORIZATION;
use rattanarch_types::Version;
use serde_json::json;
use tokio::sync::watch;

use crate::http::Body;
use crate::http::Handler;
use crate::http::HandlerResult;
use crate::http::Hangup;
use crate::http::Traffic;
use crate::http::empty;
use crate::http::json;
use crate::http::read_body;
use crate::platform::PlatformCounts;
use crate::platform::PlatformFaults;
use crate::platform::faults::ActiveFaults;
use crate::platform::faults::consume;
use crate::platform::store::Store;
use crate::query::decode;
use crate::query::parameter;

/// Longest stored value.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Longest wait of a watch, in milliseconds.
const MAX_WAIT_MS: u64 = 30_000;

/// Emulator of the platform.
#[derive(Debug)]
pub struct PlatformStandin {
    /// Required value of the `Authorization` header; `None` accepts every caller.
    authorization: Option<String>,
    state: Mutex<State>,
    down: watch::Sender<bool>,
    traffic: Arc<Traffic>,
}

#[derive(Debug, Default)]
struct State {
    store: Store,
    faults: ActiveFaults,
    counts: PlatformCounts,
}

impl PlatformStandin {
    /// Creates an emulator with an empty store. Without a token it accepts every caller.
    pub fn new(token: Option<&str>) -> Self {
        Self {
            authorization: token.map(|token| format!("Bearer {token}")),
            state: Mutex::default(),
            down: watch::Sender::new(false),
            traffic: Arc::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn control(&self, path: &str, request: Request<Incoming>) -> HandlerResult {
        match (request.method(), path) {
            (&Method::GET, "counts") => Ok(json(StatusCode::OK, &self.counts())),
            (&Method::POST, "faults") => {
                let body =
                    read_body(request.into_body(), MAX_VALUE_BYTES).await?.unwrap_or_default();
                Ok(self.change_faults(&body))
            }
            _ => Ok(empty(StatusCode::NOT_FOUND)),
        }
    }

    fn change_faults(&self, body: &[u8]) -> Response<Body> {
        match serde_json::from_slice::<PlatformFaults>(body) {
            Ok(change) => {
                self.state().faults.apply(change);
                if let Some(down) = change.down {
                    self.down.send_replace(down);
                }
                empty(StatusCode::OK)
            }
            Err(error) => json(StatusCode::BAD_REQUEST, &json!({"error": error.to_string()})),
        }
    }

    fn counts(&self) -> PlatformCounts {
        let bytes_in = self.traffic.read();
        let bytes_out = self.traffic.written();
        PlatformCounts { bytes_in, bytes_out, ..self.state().counts }
    }

    /// Handles a call, subject to the active faults.
    async fn call(&self, request: Request<Incoming>) -> HandlerResult {
        let mut down = self.down.subscribe();
        tokio::select! {
            biased;
            // The sender is never dropped while `self` exists.
            _ = down.wait_for(|&down| down) => Err(Hangup),
            response = self.call_with_delay(request) => response,
        }
    }

    async fn call_with_delay(&self, request: Request<Incoming>) -> HandlerResult {
        let (refuse, delay_ms) = {
            let state = self.state();
            (state.faults.refuse, state.faults.delay_ms)
        };
        if refuse {
            return Ok(empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        let response = self.route(request).await;
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        response
    }

    async fn route(&self, request: Request<Incoming>) -> HandlerResult {
        if !self.is_authorized(&request) {
            return Ok(empty(StatusCode::UNAUTHORIZED));
        }
        let path = decode(request.uri().path());
        if let Some(prefix) = path.strip_prefix("/list/") {
            return Ok(self.list(prefix));
        }
        let Some(object) = path.strip_prefix("/objects/").filter(|object| !object.is_empty())
        else {
            return Ok(empty(StatusCode::NOT_FOUND));
        };
        match *request.method() {
            Method::GET => self.get(object, request.uri().query().unwrap_or_default()).await,
            Method::PUT => self.put(object, request).await,
            _ => Ok(empty(StatusCode::METHOD_NOT_ALLOWED)),
        }
    }

    fn is_authorized(&self, request: &Request<Incoming>) -> bool {
        let Some(expected) = &self.authorization else { return true };
        let given = request.headers().get(AUTHORIZATION);
        given.is_some_and(|given| given.as_bytes() == expected.as_bytes())
    }

    fn list(&self, prefix: &str) -> Response<Body> {
        let mut state = self.state();
        state.counts.reads += 1;
        json(StatusCode::OK, &json!({"paths": state.store.list(prefix)}))
    }

    async fn get(&self, path: &str, query: &str) -> HandlerResult {
        let Some(after) = parameter::<Version>(query, "after") else {
            return Ok(self.read(path));
        };
        let wait_ms = parameter::<u64>(query, "wait_ms").unwrap_or_default().min(MAX_WAIT_MS);
        Ok(self.watch(path, after, Duration::from_millis(wait_ms)).await)
    }

    fn read(&self, path: &str) -> Response<Body> {
        let mut state = self.state();
        state.counts.reads += 1;
        let stale = consume(&mut state.faults.stale_reads);
        let object = if stale { state.store.get_previous(path) } else { state.store.get(path) };
        let found = object.version > 0;
        json(if found { StatusCode::OK } else { StatusCode::NOT_FOUND }, &object)
    }

    async fn watch(&self, path: &str, after: Version, wait: Duration) -> Response<Body> {
        let mut versions = {
            let mut state = self.state();
            state.counts.watches += 1;
            state.store.versions(path)
        };
        // The result is dropped at once: it holds a read lock of the channel, and `put` waits for that
        // lock while it holds the state lock, which is taken below.
        let newer = versions.wait_for(|&version| version > after);
        if tokio::time::timeout(wait, newer).await.is_err() {
            return empty(StatusCode::NOT_MODIFIED);
        }
        json(StatusCode::OK, &self.state().store.get(path))
    }

    async fn put(&self, path: &str, request: Request<Incoming>) -> HandlerResult {
        let query = request.uri().query().unwrap_or_default();
        let Some(expected) = parameter::<Version>(query, "expect") else {
            return Ok(json(StatusCode::BAD_REQUEST, &json!({"error": "expect is missing"})));
        };
        let Some(body) = read_body(request.into_body(), MAX_VALUE_BYTES).await? else {
            return Ok(empty(StatusCode::PAYLOAD_TOO_LARGE));
        };
        self.write(path, expected, &body)
    }

    fn write(&self, path: &str, expected: Version, body: &Bytes) -> HandlerResult {
        let value = match serde_json::from_slice(body) {
            Ok(value) => value,
            Err(error) => {
                let error = json!({"error": error.to_string()});
                return Ok(json(StatusCode::BAD_REQUEST, &error));
            }
        };
        let mut state = self.state();
        state.counts.writes += 1;
        if consume(&mut state.faults.lose_requests) {
            return Err(Hangup);
        }
        match state.store.put(path, expected, value) {
            Ok(_) if consume(&mut state.faults.lose_answers) => Err(Hangup),
            Ok(version) => Ok(json(StatusCode::OK, &json!({"version": version}))),
            Err(stored) => {
                state.counts.conflicts += 1;
                Ok(json(StatusCode::CONFLICT, &stored))
            }
        }
    }
}

impl Handler for PlatformStandin {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HandlerResult {
        let path = request.uri().path().to_owned();
        match path.strip_prefix("/control/") {
            Some(control) => self.control(control, request).await,
            None => self.call(request).await,
        }
    }

    fn traffic(&self) -> Arc<Traffic> {
        Arc::clone(&self.traffic)
    }
}
