//! From transport errors and statuses to [`PlatformError`]s.

use std::io::ErrorKind;

use ureq::Error;
use ureq::Timeout;

use crate::PlatformError;

/// The error of a call that ended without a status.
pub(crate) fn not_sent(path: &str, error: &Error) -> PlatformError {
    if is_before_send(error) {
        return PlatformError::NotExecuted { path: path.to_owned(), reason: error.to_string() };
    }
    no_answer(path, error)
}

/// The error of a call that may have reached the platform.
pub(crate) fn no_answer(path: &str, error: &Error) -> PlatformError {
    PlatformError::OutcomeUnknown { path: path.to_owned(), reason: error.to_string() }
}

/// The error of a call that was answered with an unexpected status.
pub(crate) fn refusal(path: &str, status: u16) -> PlatformError {
    let path = path.to_owned();
    match status {
        503 => PlatformError::NotExecuted { path, reason: "out of service".to_owned() },
        400..=499 => PlatformError::Refused { path, status },
        _ => PlatformError::OutcomeUnknown { path, reason: format!("unexpected status {status}") },
    }
}

/// Whether the error can only arise before the first byte of the request left.
///
/// Unreachable-host errors are not listed: they also arise on established connections.
fn is_before_send(error: &Error) -> bool {
    match error {
        Error::Io(error) => {
            matches!(error.kind(), ErrorKind::ConnectionRefused | ErrorKind::AddrNotAvailable)
        }
        Error::Timeout(Timeout::Resolve | Timeout::Connect)
        | Error::HostNotFound
        | Error::ConnectionFailed
        | Error::BadUri(_) => true,
        _ => false,
    }
}
