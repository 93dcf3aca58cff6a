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

/// Settings of a daemon, which the platform renders from `deploy/settings.toml`. Unknown fields are ignored, because
/// the platform may add some.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// Name of the instance, that is, of the slot that the daemon runs in.
    pub instance: InstanceId,
    /// Data centre of the slot.
    pub data_centre: DataCentreName,
    /// Service of the upstream.
    pub service: ServiceName,
    /// Address at which the upstream takes requests.
    pub upstream: SocketAddr,
    /// Interval of the upstream's heartbeats, such as `870ms`.
    #[serde(deserialize_with = "duration")]
    pub heartbeat: Duration,
    /// Addresses that the daemon listens on.
    pub listen: ListenSettings,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Rate of the machine's link in megabits a second; 0 if unknown, which sets no limit.
    #[serde(default)]
    pub link: f64,
    /// Memory of the machine in MB; 0 if unknown.
    #[serde(default, deserialize_with = "amount")]
    pub memory: usize,
    /// Descriptors that the process may open; 0 if unknown.
    #[serde(default, deserialize_with = "amount")]
    pub descriptors: usize,
    /// Whether slices move because of load by expected gain and cost, instead of utilization alone, and requests that meet a
    /// moving slice are held for longer.
    #[serde(default)]
    pub cost_based_moves: bool,
    /// Whether rate and concurrency of the upstream follow its responses while it starts or recovers.
    #[serde(default)]
    pub adaptive_pace: bool,
    /// Whether refused callers are told times by the reservation schedule, requests are expected to take the mean time of
    /// their class, and requests that cannot end before their deadline are refused.
    #[serde(default)]
    pub retry_schedule: bool,
    /// Whether the whole system starts for the first time, so that the store can't have lost anything.
    #[serde(default)]
    pub bootstrap: bool,
    /// Bounds that the platform sets, such as `drain=2s`.
    #[serde(default)]
    pub bounds: Vec<String>,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

/// Addresses that the daemon listens on.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct ListenSettings {
    /// Requests of callers on this machine.
    pub callers: SocketAddr,
    /// Requests of other daemons, forwarded ones and those to the daemon itself, over TCP.
    pub peers: SocketAddr,
    /// Digests of other daemons, over UDP.
    pub datagrams: SocketAddr,
    /// Readiness checks.
    pub ready: SocketAddr,
    /// Heartbeats and departures of the upstream.
    pub upstream: SocketAddr,
    /// Scrapes of the metrics.
    pub metrics: SocketAddr,
}

/// Settings of the log.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct LogSettings {
    /// Lowest level that is written: `error`, `warn`, `info` or `debug`.
    pub level: String,
    /// One in this many successful requests is logged; 0 logs none.
    pub sample: u32,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: "info".to_owned(), sample: 64 }
    }
}

/// Why settings are rejected.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("settings file {path:?} cannot be read: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// Error of the system.
        source: std::io::Error,
    },
    /// The file is not TOML, or a field is missing or of another type.
    #[error("settings are malformed: {0}")]
    Malformed(#[from] toml::de::Error),
    /// A field has an invalid value.
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

    /// Bounds that the platform sets.
    pub fn bounds(&self) -> Bounds {
        Bounds::parse(&self.bounds)
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

/// A number of the platform, which may have a fraction.
fn amount<'de, D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
    let amount = f64::deserialize(deserializer)?;
    if !amount.is_finite() || amount < 0.0 {
        return Err(D::Error::custom(format!("{amount} is no amount")));
    }
    Ok(amount as usize)
}

fn duration<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(deserializer)?;
    parse_duration(&text).map_err(D::Error::custom)
}
