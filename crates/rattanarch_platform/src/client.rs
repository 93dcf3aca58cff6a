//! Blocking client for the object API.

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
use crate::failure::call_failed;
use crate::failure::response_failed;
use crate::failure::unexpected_status;
use crate::wire::Listing;
use crate::wire::ObjectBody;
use crate::wire::encode_path;

/// Timeout for opening a connection; shorter than the timeout of any call, so that a failed connection can be
/// distinguished from a missing response.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest response that is read: a value of 1 MiB with its envelope, or a long listing.
const MAX_RESPONSE_BYTES: u64 = 8 << 20;

/// Idle connections that are kept open; enough for a few concurrent watches and calls.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Client for the object API of the platform. Cheap to clone; clones share connections.
#[derive(Clone)]
pub struct Platform {
    agent: Agent,
    base: String,
    /// Value of the `Authorization` header; secret, and therefore left out of the `Debug` output.
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
    /// Creates a client for the platform at the URL `base`, such as `http://127.0.0.1:8100`, with a timeout of 800 ms.
    pub fn new(base: impl Into<String>, token: impl Into<String>) -> Self {
        let base = base.into().trim_end_matches('/').to_owned();
        let authorization = format!("Bearer {}", token.into());
        Self { agent: new_agent(), base, authorization, timeout: Duration::from_millis(800) }
    }

    /// Sets the timeout of one call; a watch may take `wait` in addition.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Reads an object; its version is 0 if nothing is stored.
    ///
    /// # Errors
    /// See [`PlatformError`].
    pub fn get(&self, path: &str) -> Result<Object, PlatformError> {
        let request = self.agent.get(self.object_url(path));
        let response = self.call(path, request, self.timeout)?;
        match response.status().as_u16() {
            200 | 404 => read_json::<ObjectBody>(path, response).map(Object::from),
            status => Err(unexpected_status(path, status)),
        }
    }

    /// Waits at most `wait` for a version above `after`; returns `None` if there was none.
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
        let response = self.call(path, request, self.timeout + wait)?;
        match response.status().as_u16() {
            200 => read_json::<ObjectBody>(path, response).map(|body| Some(Object::from(body))),
            304 => Ok(None),
            status => Err(unexpected_status(path, status)),
        }
    }

    /// Replaces an object if its version is `expected`; an expected version of 0 creates it.
    ///
    /// # Errors
    /// See [`PlatformError`]. With [`PlatformError::OutcomeUnknown`] the write may have taken effect; this
    /// includes a response with status 200 whose body can't be read.
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
        let response = request.send_json(value).map_err(|error| call_failed(path, &error))?;
        match response.status().as_u16() {
            200 => {
                let body: ObjectBody = read_json(path, response).map_err(accepted_unread)?;
                Ok(PutOutcome::Accepted(body.version))
            }
            409 => {
                let body: ObjectBody = read_json(path, response)?;
                Ok(PutOutcome::Conflict(body.into()))
            }
            status => Err(unexpected_status(path, status)),
        }
    }

    /// Lists the paths of stored objects that start with `prefix`, in lexical order.
    ///
    /// # Errors
    /// See [`PlatformError`].
    pub fn list(&self, prefix: &str) -> Result<Vec<String>, PlatformError> {
        let request = self.agent.get(format!("{}/list/{}", self.base, encode_path(prefix)));
        let response = self.call(prefix, request, self.timeout)?;
        match response.status().as_u16() {
            200 => read_json::<Listing>(prefix, response).map(|listing| listing.paths),
            status => Err(unexpected_status(prefix, status)),
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
        request.call().map_err(|error| call_failed(path, &error))
    }
}

fn new_agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        // Connect directly; ignore proxy settings of the environment.
        .proxy(None)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .max_idle_connections(MAX_IDLE_CONNECTIONS)
        .max_idle_connections_per_host(MAX_IDLE_CONNECTIONS)
        .build();
    Agent::new_with_config(config)
}

fn read_json<T: DeserializeOwned>(
    path: &str,
    mut response: Response<Body>,
) -> Result<T, PlatformError> {
    let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_vec();
    let body = body.map_err(|error| response_failed(path, &error))?;
    serde_json::from_slice(&body).map_err(|error| PlatformError::Malformed {
        path: path.to_owned(),
        reason: error.to_string(),
    })
}

/// Converts the error of reading the response of an accepted write.
fn accepted_unread(error: PlatformError) -> PlatformError {
    match error {
        PlatformError::Malformed { path, reason } => PlatformError::OutcomeUnknown { path, reason },
        other => other,
    }
}
