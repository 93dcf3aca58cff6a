//! Validation of the settings.

use std::path::Path;

use crate::process::Settings;
use crate::process::SettingsError;

/// Minimum length of the secret shared by peers, in bytes: as long as the authentication tags that are made with it.
const MIN_SECRET_BYTES: usize = 16;
/// Maximum length of the name of an instance, service, firm or data centre, in bytes.
const MAX_NAME_BYTES: usize = 63;
/// Range of the lease, in milliseconds. With a shorter lease, scheduling delays on a busy machine end leases; with a
/// longer one, the keys of a lost owner are not served again within 2 s.
const LEASE_RANGE_MS: (u64, u64) = (300, 1_500);
/// Range of the maximum number of connections to the upstream; upstreams accept 120 to 130.
const CONNECTIONS_RANGE: (u64, u64) = (1, 130);
/// Range of the timeout of calls to the platform, in milliseconds.
const PLATFORM_TIMEOUT_RANGE_MS: (u64, u64) = (50, 10_000);
/// Number of hexadecimal digits of a SHA-256 digest.
const DIGEST_DIGITS: usize = 64;
/// Range of the maximum time of a planned stop, in milliseconds.
const STOP_RANGE_MS: (u64, u64) = (1_000, 600_000);

impl Settings {
    /// Checks all values; returns the first one that is not allowed.
    pub(super) fn check(&self, path: &Path) -> Result<(), SettingsError> {
        self.check_names(path)?;
        self.check_ranges(path)?;
        self.check_formats(path)?;
        self.check_operators(path)?;
        self.check_listeners(path)
    }

    fn check_names(&self, path: &Path) -> Result<(), SettingsError> {
        let names = [
            ("process.instance", &self.process.instance),
            ("process.firm", &self.process.firm),
            ("process.service", &self.process.service),
            ("process.data_centre", &self.process.data_centre),
        ];
        let invalid = names.into_iter().find(|(_, value)| !is_name(value));
        let Some((field, value)) = invalid else { return Ok(()) };
        let allowed = format!(
            "1 to {MAX_NAME_BYTES} characters: lower-case letters, digits and hyphens, beginning with a letter"
        );
        Err(not_allowed(path, field, value, allowed))
    }

    fn check_ranges(&self, path: &Path) -> Result<(), SettingsError> {
        let numbers = [
            ("process.stop_ms", self.process.stop_ms, STOP_RANGE_MS),
            ("upstream.connections", self.upstream.connections, CONNECTIONS_RANGE),
            ("platform.timeout_ms", self.platform.timeout_ms, PLATFORM_TIMEOUT_RANGE_MS),
            ("peers.lease_ms", self.peers.lease_ms, LEASE_RANGE_MS),
        ];
        for (field, value, (low, high)) in numbers {
            if !(low..=high).contains(&value) {
                let allowed = format!("{low} to {high}");
                return Err(not_allowed(path, field, &value.to_string(), allowed));
            }
        }
        Ok(())
    }

    fn check_formats(&self, path: &Path) -> Result<(), SettingsError> {
        if !self.platform.address.starts_with("http://") {
            let allowed = "a URL that starts with http://";
            return Err(not_allowed(path, "platform.address", &self.platform.address, allowed));
        }
        let secret_bytes = self.peers.secret.len();
        if secret_bytes < MIN_SECRET_BYTES {
            // The error must not contain the secret itself.
            let value = format!("({secret_bytes} bytes)");
            let allowed = format!(
                "at least {MIN_SECRET_BYTES} bytes, in this field or in the file named in peers.secret_file"
            );
            return Err(not_allowed(path, "peers.secret", &value, allowed));
        }
        if self.log.level.parse::<log::LevelFilter>().is_err() {
            let allowed = "error, warn, info, debug or trace";
            return Err(not_allowed(path, "log.level", &self.log.level, allowed));
        }
        Ok(())
    }

    fn check_operators(&self, path: &Path) -> Result<(), SettingsError> {
        for (index, operator) in self.operators.iter().enumerate() {
            let digest = &operator.token_sha256;
            let is_digest = digest.len() == DIGEST_DIGITS
                && digest.bytes().all(|byte| byte.is_ascii_hexdigit());
            if !is_digest {
                let field = format!("operators[{index}].token_sha256");
                let allowed = format!("{DIGEST_DIGITS} hexadecimal digits");
                return Err(not_allowed(path, &field, digest, allowed));
            }
        }
        Ok(())
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
                let allowed = "an address that no other listener has";
                return Err(not_allowed(path, field, &address.to_string(), allowed));
            }
        }
        Ok(())
    }
}

fn not_allowed(path: &Path, field: &str, value: &str, allowed: impl Into<String>) -> SettingsError {
    SettingsError::NotAllowed {
        file: path.to_owned(),
        field: field.to_owned(),
        value: value.to_owned(),
        allowed: allowed.into(),
    }
}

fn is_name(text: &str) -> bool {
    let valid_start = text.bytes().next().is_some_and(|byte| byte.is_ascii_lowercase());
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    valid_start && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}
