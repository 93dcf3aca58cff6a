//! Paths of the objects that daemons share; see `docs/PLATFORM-API.md`.

/// Path of the ownership record of `service`.
pub fn record_path(service: &str) -> String {
    format!("records/{service}")
}

/// Path of the configuration of `firm`.
pub fn configuration_path(firm: &str) -> String {
    format!("configuration/{firm}")
}
