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

/// Shortest secret shared by peers, in bytes: as long as the tag that it makes.
const MIN_SECRET_BYTES: usize = 16;
/// Longest name of an instance, service, firm or data centre, in bytes.
const MAX_NAME_BYTES: usize = 63;
/// Range of the lease, in milliseconds: below the first, scheduling delays on a busy machine end
/// leases; above the second, a lost owner's keys are not served again within 2 s.
const LEASE_MS: (u64, u64) = (300, 1_500);
/// Range of connections to the upstream; the brief's endpoints take 120 to 130.
const CONNECTIONS: (u64, u64) = (1, 130);
/// Range of the platform timeout, in milliseconds.
const PLATFORM_TIMEOUT_MS: (u64, u64) = (50, 10_000);
/// Range of the time that a planned stop may take, in milliseconds.
const STOP_MS: (u64, u64) = (1_000, 600_000);

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

    fn check(&self, path: &Path) -> Result<(), SettingsError> {
        let fault = |field: &str, value: &str, allowed: String| SettingsError::NotAllowed {
            file: path.to_owned(),
            field: field.to_owned(),
            value: value.to_owned(),
            allowed,
        };
        let names = [
            ("process.instance", &self.process.instance),
            ("process.firm", &self.process.firm),
            ("process.service", &self.process.service),
            ("process.data_centre", &self.process.data_centre),
        ];
        for (field, value) in names {
            if !is_name(value) {
                let allowed = format!(
                    "1 to {MAX_NAME_BYTES} lower-case letters, digits and hyphens, a letter first"
                );
                return Err(fault(field, value, allowed));
            }
        }
        let numbers = [
            ("process.stop_ms", self.process.stop_ms, STOP_MS),
            ("upstream.connections", self.upstream.connections, CONNECTIONS),
            ("platform.timeout_ms", self.platform.timeout_ms, PLATFORM_TIMEOUT_MS),
            ("peers.lease_ms", self.peers.lease_ms, LEASE_MS),
        ];
        for (field, value, (low, high)) in numbers {
            if !(low..=high).contains(&value) {
                return Err(fault(field, &value.to_string(), format!("{low} to {high}")));
            }
        }
        if !self.platform.address.starts_with("http://") {
            let allowed = "a URL that starts with http://".to_owned();
            return Err(fault("platform.address", &self.platform.address, allowed));
        }
        if self.peers.secret.len() < MIN_SECRET_BYTES {
            let allowed = format!("at least {MIN_SECRET_BYTES} bytes, here or in secret_file");
            let value = format!("({} bytes)", self.peers.secret.len());
            return Err(fault("peers.secret", &value, allowed));
        }
        if self.log.level.parse::<log::LevelFilter>().is_err() {
            let allowed = "error, warn, info, debug or trace".to_owned();
            return Err(fault("log.level", &self.log.level, allowed));
        }
        for (number, operator) in self.operators.iter().enumerate() {
            let digest = &operator.token_sha256;
            if digest.len() != 64 || !digest.bytes().all(|byte| byte.is_ascii_hexdigit()) {
                let field = format!("operators[{number}].token_sha256");
                return Err(fault(&field, digest, "64 hexadecimal digits".to_owned()));
            }
        }
        self.check_listeners(path)
    }

    fn check_listeners(&self, path: &Path) -> Result<(), SettingsError> {
        let listen = &self.listen;
        let pairs = [
            ("listen.peer", listen.peer, listen.caller),
            ("listen.operator", listen.operator, listen.caller),
            ("listen.operator", listen.operator, listen.peer),
        ];
        for (field, address, other) in pairs {
            if address.port() != 0 && address == other {
                return Err(SettingsError::NotAllowed {
                    file: path.to_owned(),
                    field: field.to_owned(),
                    value: address.to_string(),
                    allowed: "an address that no other listener has".to_owned(),
                });
            }
        }
        Ok(())
    }
}

fn is_name(text: &str) -> bool {
    let starts = text.bytes().next().is_some_and(|byte| byte.is_ascii_lowercase());
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    starts && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

fn read_secret(settings: &Path, file: &Path) -> Result<String, SettingsError> {
    let directory = settings.parent().unwrap_or_else(|| Path::new("."));
    let file = directory.join(file);
    let text = std::fs::read_to_string(&file)
        .map_err(|source| SettingsError::Unreadable { file: file.clone(), source })?;
    Ok(text.trim().to_owned())
}
