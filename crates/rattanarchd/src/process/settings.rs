//! The daemon's settings.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use rattanarch_types::DataCentreName;
use rattanarch_types::FirmName;
use rattanarch_types::InstanceId;
use rattanarch_types::OperatorName;
use rattanarch_types::ServiceName;
use serde::Deserialize;

use crate::process::SettingsError;

/// Settings of one daemon, read from one TOML file and checked whole.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who and where this daemon is.
    pub process: ProcessSettings,
    /// Addresses that it listens at.
    pub listen: ListenSettings,
    /// Addresses that it tells others, where they differ from those that it listens at.
    #[serde(default)]
    pub advertise: AdvertiseSettings,
    /// The upstream beside it.
    pub upstream: UpstreamSettings,
    /// The platform's object API.
    pub platform: PlatformSettings,
    /// The other daemons.
    pub peers: PeerSettings,
    /// Who may operate it; nobody by default.
    #[serde(default)]
    pub operators: Vec<OperatorSettings>,
    /// Log lines.
    #[serde(default)]
    pub log: LogSettings,
    /// Metrics; none are sent by default.
    #[serde(default)]
    pub metrics: MetricSettings,
}

/// Who and where the daemon is.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// Name of this slot, unique in the service.
    pub instance: InstanceId,
    /// Firm that the service belongs to.
    pub firm: FirmName,
    /// Service of the upstream.
    pub service: ServiceName,
    /// Data centre of the slot.
    pub data_centre: DataCentreName,
    /// Longest time that a planned stop may take, in milliseconds; 1,000 to 600,000.
    #[serde(default = "default_stop_ms")]
    pub stop_ms: u64,
}

/// Addresses that the daemon listens at; IP addresses with ports. Port 0 takes a free one.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// For callers and forwarding daemons, HTTP.
    pub caller: SocketAddr,
    /// For peers: UDP for leases and TCP for the rest, at the same port.
    pub peer: SocketAddr,
    /// For operators, HTTP.
    pub operator: SocketAddr,
}

/// Addresses that the daemon tells others; those that it listens at by default.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdvertiseSettings {
    /// Where callers and forwarding daemons reach it.
    pub caller: Option<SocketAddr>,
    /// Where peers reach it.
    pub peer: Option<SocketAddr>,
}

/// The upstream beside the daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// Most connections to it at one time; 1 to 130.
    #[serde(default = "default_connections")]
    pub connections: u64,
}

/// The platform's object API.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Base URL, such as `http://127.0.0.1:8100`.
    pub address: String,
    /// File that holds the bearer token.
    #[serde(default)]
    pub token_file: Option<PathBuf>,
    /// Bearer token, when it stands in the settings themselves.
    #[serde(default)]
    pub token: String,
    /// How long a call may take, in milliseconds; 50 to 10,000.
    #[serde(default = "default_platform_timeout_ms")]
    pub timeout_ms: u64,
}

/// The other daemons.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Secret that all daemons of a firm share; at least 16 bytes.
    #[serde(default)]
    pub secret: String,
    /// File that holds the secret.
    #[serde(default)]
    pub secret_file: Option<PathBuf>,
    /// How long an owner may serve on one round of acknowledgements, in milliseconds; 300 to
    /// 1,500, the same in every daemon of a service.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
}

impl std::fmt::Debug for PeerSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PeerSettings").field("lease_ms", &self.lease_ms).finish_non_exhaustive()
    }
}

/// One operator who may use the daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Name for the audit trail.
    pub name: OperatorName,
    /// Firm of the operator; none for the shared rota, which may operate either firm's services.
    #[serde(default)]
    pub firm: Option<FirmName>,
    /// SHA-256 of the operator's token, in 64 hexadecimal digits.
    pub token_sha256: String,
}

/// Log lines.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Least level written: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// File to append to; standard output when absent.
    pub file: Option<PathBuf>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: "info".to_owned(), file: None }
    }
}

/// Metrics.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MetricSettings {
    /// Where statsd listens (UDP).
    pub statsd: Option<SocketAddr>,
}

fn default_stop_ms() -> u64 {
    30_000
}

fn default_connections() -> u64 {
    120
}

fn default_platform_timeout_ms() -> u64 {
    800
}

fn default_lease_ms() -> u64 {
    1_200
}

impl Settings {
    /// Reads and checks the file at `path`, and the secrets in the files that it names.
    ///
    /// # Errors
    /// The first fault found, with file, field, value and what is allowed.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Unreadable { file: path.to_owned(), source })?;
        Self::parse(path, &text)
    }

    /// Checks `text` as the content of the file at `path`.
    ///
    /// # Errors
    /// As [`Self::read`].
    pub fn parse(path: &Path, text: &str) -> Result<Self, SettingsError> {
        let mut settings: Self =
            toml::from_str(text).map_err(|error| SettingsError::Malformed {
                file: path.to_owned(),
                reason: error.to_string().trim_end().to_owned(),
            })?;
        settings.resolve(path)?;
        settings.check(path)?;
        Ok(settings)
    }

    /// Longest time that a planned stop may take.
    pub fn stop_within(&self) -> Duration {
        Duration::from_millis(self.process.stop_ms)
    }

    fn resolve(&mut self, path: &Path) -> Result<(), SettingsError> {
        if let Some(file) = &self.peers.secret_file {
            self.peers.secret = read_secret(path, file)?;
        }
        if let Some(file) = &self.platform.token_file {
            self.platform.token = read_secret(path, file)?;
        }
        Ok(())
    }
}

fn read_secret(settings: &Path, file: &Path) -> Result<String, SettingsError> {
    let directory = settings.parent().unwrap_or_else(|| Path::new("."));
    let file = directory.join(file);
    let text = std::fs::read_to_string(&file)
        .map_err(|source| SettingsError::Unreadable { file: file.clone(), source })?;
    Ok(text.trim().to_owned())
}
