//! What can be wrong with the settings.

use std::path::PathBuf;

/// Settings that the daemon does not start with.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A file can't be read.
    #[error("{file}: cannot be read: {source}", file = file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The text is no TOML, or has a missing, unknown or mistyped field.
    #[error("{file}: {reason}", file = file.display())]
    Malformed {
        /// The file.
        file: PathBuf,
        /// Line, column, field and what is allowed there.
        reason: String,
    },
    /// A field has a value that is not allowed.
    #[error("{file}: field {field:?} has value {value:?}; allowed: {allowed}", file = file.display())]
    NotAllowed {
        /// The file.
        file: PathBuf,
        /// Field, with its table.
        field: String,
        /// Its value.
        value: String,
        /// What is allowed.
        allowed: String,
    },
}
