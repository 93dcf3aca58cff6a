//! Errors of calls to the platform.

/// Why a call to the platform failed.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// The platform did not execute the call: no connection was opened, or the status was 503.
    #[error("platform did not execute the call for {path:?}: {reason}")]
    NotExecuted {
        /// Object path of the call.
        path: String,
        /// Cause of the failure.
        reason: String,
    },
    /// The call may have been sent, but its outcome is unknown: there was no usable response. A write may have taken
    /// effect, or may do so later.
    #[error("platform sent no response for {path:?}: {reason}")]
    OutcomeUnknown {
        /// Object path of the call.
        path: String,
        /// Cause of the failure.
        reason: String,
    },
    /// The platform refused the call, because of an invalid token or an unacceptable value.
    #[error("platform refused the call for {path:?} with status {status}")]
    Refused {
        /// Object path of the call.
        path: String,
        /// HTTP status of the refusal.
        status: u16,
    },
    /// The response is malformed.
    #[error("platform's response for {path:?} is malformed: {reason}")]
    Malformed {
        /// Object path of the call.
        path: String,
        /// Why the response can't be decoded.
        reason: String,
    },
}
