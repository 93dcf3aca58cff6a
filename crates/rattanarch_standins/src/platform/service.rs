//! The platform's calls.

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

use crate::http::Answer;
use crate::http::Body;
use crate::http::Handler;
use crate::http::Hangup;
use crate::http::Traffic;
use crate::http::empty;
use crate::http::json;
use crate::http::read_body;
use crate::platform::PlatformCounts;
use crate::platform::PlatformFaults;
use crate::platform::faults::InForce;
use crate::platform::faults::take;
use crate::platform::store::Store;
use crate::query::decode;
use crate::query::parameter;

/// Longest stored value, in bytes.
const VALUE_LIMIT: usize = 1 << 20;

/// Longest wait of a watch, in milliseconds.
const WAIT_LIMIT_MS: u64 = 30_000;

/// The platform's stand-in.
#[derive(Debug)]
pub struct PlatformStandin {
    /// Value that the `Authorization` header must have; `None` takes any.
    authorization: Option<String>,
    state: Mutex<State>,
    down: watch::Sender<bool>,
    traffic: Arc<Traffic>,
}

#[derive(Debug, Default)]
struct State {
    store: Store,
    faults: InForce,
    counts: PlatformCounts,
}

impl PlatformStandin {
    /// A stand-in with an empty store. Without a token it takes every caller.
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

    async fn control(&self, path: &str, request: Request<Incoming>) -> Answer {
        match (request.method(), path) {
            (&Method::GET, "counts") => Ok(json(StatusCode::OK, &self.counts())),
            (&Method::POST, "faults") => {
                let body = read_body(request.into_body(), VALUE_LIMIT).await?.unwrap_or_default();
                Ok(self.change_faults(&body))
            }
            _ => Ok(empty(StatusCode::NOT_FOUND)),
        }
    }

    fn change_faults(&self, body: &[u8]) -> Response<Body> {
        match serde_json::from_slice::<PlatformFaults>(body) {
            Ok(change) => {
                self.state().faults.change(change);
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

    /// A call as the faults let it through.
    async fn call(&self, request: Request<Incoming>) -> Answer {
        let mut down = self.down.subscribe();
        tokio::select! {
            biased;
            // The sender lives as long as the stand-in.
            _ = down.wait_for(|&down| down) => Err(Hangup),
            answer = self.delayed(request) => answer,
        }
    }

    async fn delayed(&self, request: Request<Incoming>) -> Answer {
        let (refuse, delay_ms) = {
            let state = self.state();
            (state.faults.refuse, state.faults.delay_ms)
        };
        if refuse {
            return Ok(empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        let answer = self.route(request).await;
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        answer
    }

    async fn route(&self, request: Request<Incoming>) -> Answer {
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

    async fn get(&self, path: &str, query: &str) -> Answer {
        let Some(after) = parameter::<Version>(query, "after") else {
            return Ok(self.read(path));
        };
        let wait_ms = parameter::<u64>(query, "wait_ms").unwrap_or_default().min(WAIT_LIMIT_MS);
        Ok(self.watch(path, after, Duration::from_millis(wait_ms)).await)
    }

    fn read(&self, path: &str) -> Response<Body> {
        let mut state = self.state();
        state.counts.reads += 1;
        let stale = take(&mut state.faults.stale_reads);
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
        // The outcome holds a lock that a write takes while it holds the state's: only whether the
        // wait ended in time is kept.
        let newer = versions.wait_for(|&version| version > after);
        if tokio::time::timeout(wait, newer).await.is_err() {
            return empty(StatusCode::NOT_MODIFIED);
        }
        json(StatusCode::OK, &self.state().store.get(path))
    }

    async fn put(&self, path: &str, request: Request<Incoming>) -> Answer {
        let query = request.uri().query().unwrap_or_default();
        let Some(expected) = parameter::<Version>(query, "expect") else {
            return Ok(json(StatusCode::BAD_REQUEST, &json!({"error": "expect is missing"})));
        };
        let Some(body) = read_body(request.into_body(), VALUE_LIMIT).await? else {
            return Ok(empty(StatusCode::PAYLOAD_TOO_LARGE));
        };
        self.write(path, expected, &body)
    }

    fn write(&self, path: &str, expected: Version, body: &Bytes) -> Answer {
        let value = match serde_json::from_slice(body) {
            Ok(value) => value,
            Err(error) => {
                let error = json!({"error": error.to_string()});
                return Ok(json(StatusCode::BAD_REQUEST, &error));
            }
        };
        let mut state = self.state();
        state.counts.writes += 1;
        if take(&mut state.faults.lose_requests) {
            return Err(Hangup);
        }
        match state.store.put(path, expected, value) {
            Ok(_) if take(&mut state.faults.lose_answers) => Err(Hangup),
            Ok(version) => Ok(json(StatusCode::OK, &json!({"version": version}))),
            Err(stored) => {
                state.counts.conflicts += 1;
                Ok(json(StatusCode::CONFLICT, &stored))
            }
        }
    }
}

impl Handler for PlatformStandin {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Answer {
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
