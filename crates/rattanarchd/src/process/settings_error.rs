//! Errors in the settings.

use std::path::PathBuf;

/// Reason for which the daemon can't use its settings.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A file can't be read.
    #[error("{file}: cannot be read: {source}", file = file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The text is not TOML, or a field is missing, unknown or of another type.
    #[error("{file}: {reason}", file = file.display())]
    Malformed {
        /// The file.
        file: PathBuf,
        /// Description with line, column, field, and what is allowed there.
        reason: String,
    },
    /// A field has a value that is not allowed.
    #[error("{file}: field {field:?} has value {value:?}; allowed: {allowed}", file = file.display())]
    NotAllowed {
        /// The file.
        file: PathBuf,
        /// Name of the field, with its table.
        field: String,
        /// Value of the field.
        value: String,
        /// Description of the allowed values.
        allowed: String,
    },
}
