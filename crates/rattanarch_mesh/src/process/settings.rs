//! The daemon's settings.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use rattanarch_adapter::Bounds;
use rattanarch_adapter::parse_duration;
use rattanarch_types::DataCentreName;
use rattanarch_types::InstanceId;
use rattanarch_types::ServiceName;
use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;

/// Settings of a daemon, rendered by the platform from `deploy/settings.toml`. Unknown fields are
/// ignored: the platform may add some.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// Slot that the daemon runs in.
    pub instance: InstanceId,
    /// Data centre of the slot.
    pub data_centre: DataCentreName,
    /// Service of the upstream beside it.
    pub service: ServiceName,
    /// Address of the upstream.
    pub upstream: SocketAddr,
    /// Time between two heartbeats of the upstream, such as `870ms`.
    #[serde(deserialize_with = "duration")]
    pub heartbeat: Duration,
    /// Where the daemon listens.
    pub listen: ListenSettings,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Rate of the machine's link, in megabits a second; 0 if it is not known, so that it binds nothing.
    #[serde(default)]
    pub link: f64,
    /// Figures of the platform's rules, such as `drain=2s`.
    #[serde(default)]
    pub bounds: Vec<String>,
    /// How to log.
    #[serde(default)]
    pub log: LogSettings,
}

/// Addresses that the daemon listens on.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct ListenSettings {
    /// Callers on this machine.
    pub callers: SocketAddr,
    /// Daemons that forward requests, over TCP.
    pub peers: SocketAddr,
    /// Daemons, over UDP.
    pub datagrams: SocketAddr,
    /// Questions whether the daemon is ready.
    pub ready: SocketAddr,
    /// The upstream beside it.
    pub upstream: SocketAddr,
    /// Readers of metrics.
    pub metrics: SocketAddr,
}

/// How to log.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct LogSettings {
    /// Least level that is written: `error`, `warn`, `info` or `debug`.
    pub level: String,
    /// One in this many requests that end well is logged; 0 logs none.
    pub sample: u32,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: "info".to_owned(), sample: 64 }
    }
}

/// Settings that the daemon does not start with.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("settings file {path:?} cannot be read: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file is not TOML, or a field is missing or of another type.
    #[error("settings are malformed: {0}")]
    Malformed(#[from] toml::de::Error),
    /// A field has a value that makes no sense.
    #[error("setting {field:?}: {reason}")]
    Value {
        /// Name of the field.
        field: &'static str,
        /// What is wrong with it.
        reason: String,
    },
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// See [`SettingsError`].
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Read { path: path.display().to_string(), source })?;
        Self::parse(&text)
    }

    /// Reads and checks settings in TOML.
    ///
    /// # Errors
    /// See [`SettingsError`].
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text)?;
        settings.check()?;
        Ok(settings)
    }

    /// Figures of the platform's rules.
    pub fn bounds(&self) -> Bounds {
        Bounds::read(&self.bounds)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let value = |field, reason: String| Err(SettingsError::Value { field, reason });
        if self.heartbeat.is_zero() {
            return value("heartbeat", "must be longer than 0".to_owned());
        }
        if !self.link.is_finite() || self.link < 0.0 {
            return value("link", format!("{} is no rate in megabits a second", self.link));
        }
        if let Err(error) = self.log.level.parse::<log::LevelFilter>() {
            return value("log.level", error.to_string());
        }
        for (field, text) in [("instance", &self.instance), ("service", &self.service)] {
            if text.is_empty() {
                return value(field, "must not be empty".to_owned());
            }
        }
        Ok(())
    }
}

fn duration<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(deserializer)?;
    parse_duration(&text).map_err(D::Error::custom)
}
