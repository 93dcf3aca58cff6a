//! The blocking client.

use std::fmt;
use std::time::Duration;

use rattanarch_types::Version;
use serde::de::DeserializeOwned;
use serde_json::Value;
use ureq::Agent;
use ureq::Body;
use ureq::RequestBuilder;
use ureq::http::Response;
use ureq::typestate::WithoutBody;

use crate::Object;
use crate::PlatformError;
use crate::PutOutcome;
use crate::failure::no_answer;
use crate::failure::not_sent;
use crate::failure::refusal;
use crate::wire::Listing;
use crate::wire::Stored;
use crate::wire::encode_path;

/// Longest time to open a connection; shorter than any call's timeout, so that a connection that
/// cannot be opened is told apart from an answer that does not come.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest answer that is read, in bytes: a value of 1 MiB and its envelope, or a long listing.
const ANSWER_LIMIT: u64 = 8 << 20;

/// Idle connections kept to the platform: a few watches and calls at a time.
const IDLE_CONNECTIONS: usize = 8;

/// Client for the platform's object API. Cheap to clone; clones share connections.
#[derive(Clone)]
pub struct Platform {
    agent: Agent,
    base: String,
    /// Value of the `Authorization` header; never printed.
    authorization: String,
    timeout: Duration,
}

impl fmt::Debug for Platform {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut fields = formatter.debug_struct("Platform");
        fields.field("base", &self.base).field("timeout", &self.timeout).finish_non_exhaustive()
    }
}

impl Platform {
    /// A client for the platform at `base`, such as `http://127.0.0.1:8100`.
    pub fn new(base: impl Into<String>, token: impl Into<String>) -> Self {
        let base = base.into().trim_end_matches('/').to_owned();
        let authorization = format!("Bearer {}", token.into());
        Self { agent: new_agent(), base, authorization, timeout: Duration::from_millis(800) }
    }

    /// Sets how long one call may take, a watch's wait not counted.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Reads an object; version 0 when nothing is stored.
    ///
    /// # Errors
    /// See [`PlatformError`].
    pub fn get(&self, path: &str) -> Result<Object, PlatformError> {
        let request = self.agent.get(self.object_url(path));
        let answer = self.call(path, request, self.timeout)?;
        match answer.status().as_u16() {
            200 | 404 => read_json::<Stored>(path, answer).map(Object::from),
            status => Err(refusal(path, status)),
        }
    }

    /// Waits at most `wait` for a version above `after`; `None` when none came.
    ///
    /// # Errors
    /// See [`PlatformError`].
    pub fn watch(
        &self,
        path: &str,
        after: Version,
        wait: Duration,
    ) -> Result<Option<Object>, PlatformError> {
        let request = self.agent.get(self.object_url(path));
        let request = request.query("after", after.to_string());
        let request = request.query("wait_ms", wait.as_millis().to_string());
        let answer = self.call(path, request, self.timeout + wait)?;
        match answer.status().as_u16() {
            200 => read_json::<Stored>(path, answer).map(|stored| Some(Object::from(stored))),
            304 => Ok(None),
            status => Err(refusal(path, status)),
        }
    }

    /// Replaces an object whose version is `expected`; 0 creates it.
    ///
    /// # Errors
    /// See [`PlatformError`]; [`PlatformError::OutcomeUnknown`] leaves open whether it took effect. An
    /// answer that says so little as to leave it open is that error too.
    pub fn put(
        &self,
        path: &str,
        expected: Version,
        value: &Value,
    ) -> Result<PutOutcome, PlatformError> {
        let request = self.agent.put(self.object_url(path));
        let request = request.query("expect", expected.to_string());
        let request = request.header("authorization", &self.authorization);
        let request = request.config().timeout_global(Some(self.timeout)).build();
        let answer = request.send_json(value).map_err(|error| not_sent(path, &error))?;
        match answer.status().as_u16() {
            200 => {
                let stored: Stored = read_json(path, answer).map_err(may_have_written)?;
                Ok(PutOutcome::Accepted(stored.version))
            }
            409 => {
                let stored: Stored = read_json(path, answer)?;
                Ok(PutOutcome::Conflict(stored.into()))
            }
            status => Err(refusal(path, status)),
        }
    }

    /// Paths of the stored objects that start with `prefix`, in order.
    ///
    /// # Errors
    /// See [`PlatformError`].
    pub fn list(&self, prefix: &str) -> Result<Vec<String>, PlatformError> {
        let request = self.agent.get(format!("{}/list/{}", self.base, encode_path(prefix)));
        let answer = self.call(prefix, request, self.timeout)?;
        match answer.status().as_u16() {
            200 => read_json::<Listing>(prefix, answer).map(|listing| listing.paths),
            status => Err(refusal(prefix, status)),
        }
    }

    fn object_url(&self, path: &str) -> String {
        format!("{}/objects/{}", self.base, encode_path(path))
    }

    fn call(
        &self,
        path: &str,
        request: RequestBuilder<WithoutBody>,
        timeout: Duration,
    ) -> Result<Response<Body>, PlatformError> {
        let request = request.header("authorization", &self.authorization);
        let request = request.config().timeout_global(Some(timeout)).build();
        request.call().map_err(|error| not_sent(path, &error))
    }
}

fn new_agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        // The platform is reached directly, whatever proxy the environment names.
        .proxy(None)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .max_idle_connections(IDLE_CONNECTIONS)
        .max_idle_connections_per_host(IDLE_CONNECTIONS)
        .build();
    Agent::new_with_config(config)
}

fn read_json<T: DeserializeOwned>(
    path: &str,
    mut answer: Response<Body>,
) -> Result<T, PlatformError> {
    let body = answer.body_mut().with_config().limit(ANSWER_LIMIT).read_to_vec();
    let body = body.map_err(|error| no_answer(path, &error))?;
    serde_json::from_slice(&body).map_err(|error| PlatformError::Malformed {
        path: path.to_owned(),
        reason: error.to_string(),
    })
}

/// The error of a write whose acceptance could not be read.
fn may_have_written(error: PlatformError) -> PlatformError {
    match error {
        PlatformError::Malformed { path, reason } => PlatformError::OutcomeUnknown { path, reason },
        other => other,
    }
}
