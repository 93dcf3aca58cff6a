//! Conversion of transport errors and HTTP statuses to [`PlatformError`].

use std::io::ErrorKind;

use ureq::Error;
use ureq::Timeout;

use crate::PlatformError;

/// Error of a call that failed before a status was received.
pub(crate) fn call_failed(path: &str, error: &Error) -> PlatformError {
    if is_before_send(error) {
        return PlatformError::NotExecuted { path: path.to_owned(), reason: error.to_string() };
    }
    response_failed(path, error)
}

/// Error of a call that may have reached the platform.
pub(crate) fn response_failed(path: &str, error: &Error) -> PlatformError {
    PlatformError::OutcomeUnknown { path: path.to_owned(), reason: error.to_string() }
}

/// Error of a call whose response has an unexpected status.
pub(crate) fn unexpected_status(path: &str, status: u16) -> PlatformError {
    let path = path.to_owned();
    match status {
        503 => PlatformError::NotExecuted { path, reason: "out of service".to_owned() },
        400..=499 => PlatformError::Refused { path, status },
        _ => PlatformError::OutcomeUnknown { path, reason: format!("unexpected status {status}") },
    }
}

/// Whether the error can only occur before the first byte of the request was sent.
///
/// Unreachable-host errors are not included, because they also occur on established connections.
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
