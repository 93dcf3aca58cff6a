//! How a call to the platform fails.

/// A call to the platform that failed.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// The platform did not take the call: no connection was made, or it answered 503.
    #[error("platform did not take the call for {path:?}: {reason}")]
    NotExecuted {
        /// Object path of the call.
        path: String,
        /// What went wrong.
        reason: String,
    },
    /// The call was sent and no answer came; a write may have taken effect, now or later.
    #[error("platform gave no answer for {path:?}: {reason}")]
    OutcomeUnknown {
        /// Object path of the call.
        path: String,
        /// What went wrong.
        reason: String,
    },
    /// The platform refused the call: a bad token, or a value it does not accept.
    #[error("platform refused the call for {path:?} with status {status}")]
    Refused {
        /// Object path of the call.
        path: String,
        /// HTTP status of the refusal.
        status: u16,
    },
    /// The answer could not be read.
    #[error("platform's answer for {path:?} is malformed: {reason}")]
    Malformed {
        /// Object path of the call.
        path: String,
        /// What is wrong with it.
        reason: String,
    },
}
