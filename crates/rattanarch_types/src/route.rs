//! Rules for the requests of a service.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Where the key of a request is found.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeySource {
    /// The `rattanarch-key` request header.
    Header,
    /// A segment of the path after the service's name, counted from 0.
    Segment(u8),
}

/// Which requests are served first when an upstream is busy.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Served last: reservations and deposits.
    Deferrable,
    /// The default.
    #[default]
    Normal,
    /// Served first: stock checks, spot conditions, map downloads.
    Urgent,
}

/// Numeric priority of a request; 0 is the most urgent.
pub type Rank = u8;

impl From<Priority> for Rank {
    fn from(priority: Priority) -> Self {
        match priority {
            Priority::Urgent => 0,
            Priority::Normal => 1,
            Priority::Deferrable => 2,
        }
    }
}

/// Rule for the requests of a service whose path starts with `prefix`; the longest prefix wins.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Route {
    /// Prefix of the path after `/{service}`; begins with `/`.
    pub prefix: String,
    /// Where the key is found; ignored for services without keys.
    pub key: KeySource,
    /// Which requests are served first when an upstream is busy.
    pub priority: Priority,
    /// Longest time from the first byte of the request to the first byte of the response.
    pub timeout: Duration,
}

impl Default for Route {
    fn default() -> Self {
        Self {
            prefix: "/".to_owned(),
            key: KeySource::Header,
            priority: Priority::Normal,
            timeout: Duration::from_secs(2),
        }
    }
}

impl Route {
    /// Sets the path prefix.
    pub fn with_prefix(mut self, prefix: impl Into<String>) -> Self {
        self.prefix = prefix.into();
        self
    }

    /// Sets where the key is found.
    pub fn with_key(mut self, key: KeySource) -> Self {
        self.key = key;
        self
    }

    /// Sets the priority.
    pub fn with_priority(mut self, priority: Priority) -> Self {
        self.priority = priority;
        self
    }

    /// Sets the timeout.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }
}
