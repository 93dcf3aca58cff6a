//! Settings of the daemon.

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

/// Settings of a daemon, read from a TOML file; all values are checked.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity and location of the daemon.
    pub process: ProcessSettings,
    /// Addresses on which it listens.
    pub listen: ListenSettings,
    /// Addresses that it advertises to others, if they differ from those on which it listens.
    #[serde(default)]
    pub advertise: AdvertiseSettings,
    /// The upstream beside it.
    pub upstream: UpstreamSettings,
    /// The platform's object API.
    pub platform: PlatformSettings,
    /// The other daemons.
    pub peers: PeerSettings,
    /// Operators who may use it; none by default.
    #[serde(default)]
    pub operators: Vec<OperatorSettings>,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
    /// Metrics; none are sent by default.
    #[serde(default)]
    pub metrics: MetricSettings,
}

/// Identity and location of the daemon.
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
    /// Maximum time of a planned stop, in milliseconds; 1,000 to 600,000.
    #[serde(default = "default_stop_ms")]
    pub stop_ms: u64,
}

/// Addresses on which the daemon listens, as IP addresses with ports; for port 0, a free port is chosen.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// HTTP address for callers and forwarding daemons.
    pub caller: SocketAddr,
    /// Address for peers, with UDP for leases and TCP for pulls on the same port.
    pub peer: SocketAddr,
    /// HTTP address for operators.
    pub operator: SocketAddr,
}

/// Addresses that the daemon advertises; by default those on which it listens.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdvertiseSettings {
    /// Address for callers and forwarding daemons.
    pub caller: Option<SocketAddr>,
    /// Address for peers.
    pub peer: Option<SocketAddr>,
}

/// The upstream beside the daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSettings {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Maximum number of connections to it at a time; 1 to 130.
    #[serde(default = "default_connections")]
    pub connections: u64,
}

/// The platform's object API.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Base URL, such as `http://127.0.0.1:8100`.
    pub address: String,
    /// File that contains the bearer token.
    #[serde(default)]
    pub token_file: Option<PathBuf>,
    /// Bearer token, if it is not in a file of its own.
    #[serde(default)]
    pub token: String,
    /// Timeout of a call, in milliseconds; 50 to 10,000.
    #[serde(default = "default_platform_timeout_ms")]
    pub timeout_ms: u64,
}

/// The other daemons.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Secret shared by all daemons of a firm; at least 16 bytes.
    #[serde(default)]
    pub secret: String,
    /// File that contains the secret.
    #[serde(default)]
    pub secret_file: Option<PathBuf>,
    /// Time for which an owner may serve after a majority of its witnesses has acknowledged its lease, in milliseconds;
    /// 300 to 1,500, the same in every daemon of a service.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
}

impl std::fmt::Debug for PeerSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PeerSettings").field("lease_ms", &self.lease_ms).finish_non_exhaustive()
    }
}

/// An operator who may use the daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Name in the audit trail.
    pub name: OperatorName,
    /// Firm of the operator; `None` for the shared rota, which may operate the services of both firms.
    #[serde(default)]
    pub firm: Option<FirmName>,
    /// SHA-256 digest of the operator's token, as 64 hexadecimal digits.
    pub token_sha256: String,
}

/// Logging.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Least severe level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// File to which lines are appended; standard output by default.
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
    /// UDP address of the statsd server; no metrics are sent by default.
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
    /// Reads and checks the file at `path` and the files with secrets that it refers to.
    ///
    /// # Errors
    /// Returns the first error found, with file, field, value and what is allowed.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Unreadable { file: path.to_owned(), source })?;
        Self::parse(path, &text)
    }

    /// Parses and checks `text` as the content of the file at `path`.
    ///
    /// # Errors
    /// Same as [`Self::read`].
    pub fn parse(path: &Path, text: &str) -> Result<Self, SettingsError> {
        let mut settings: Self =
            toml::from_str(text).map_err(|error| SettingsError::Malformed {
                file: path.to_owned(),
                reason: error.to_string().trim_end().to_owned(),
            })?;
        settings.read_secrets(path)?;
        settings.check(path)?;
        Ok(settings)
    }

    /// Maximum time of a planned stop.
    pub fn stop_timeout(&self) -> Duration {
        Duration::from_millis(self.process.stop_ms)
    }

    /// Reads the secrets that are in files of their own.
    fn read_secrets(&mut self, path: &Path) -> Result<(), SettingsError> {
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
