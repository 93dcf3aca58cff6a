//! Reasons for refused requests, as counted and shown to operators.

use rattanarch_ownership::Refusal;

use crate::request::RequestError;

/// Reason of a [`RequestError`], without its details. The variants correspond to [`Reason::NAMES`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reason {
    PathMalformed,
    VersionOld,
    DeadlineMalformed,
    ServiceUnknown,
    RouteMissing,
    KeyMissing,
    BodyTooLarge,
    BodyStalled,
    BodyMalformed,
    NotReady,
    Elsewhere,
    Unowned,
    LeaseEnded,
    Moving,
    NoGrant,
    NoInstance,
    Overloaded,
    Unreachable,
    RepeatRunning,
    RepeatUnknown,
    RepeatMismatch,
    UpstreamRefused,
    Late,
    TimedOut,
    Cut,
    Crossed,
    Endless,
}

impl Reason {
    /// Number of reasons.
    pub(crate) const COUNT: usize = Self::NAMES.len();

    /// Names shown to operators, in the order of the variants. They are stable.
    pub(crate) const NAMES: [&'static str; 27] = [
        "path-malformed",
        "version-old",
        "deadline-malformed",
        "service-unknown",
        "route-missing",
        "key-missing",
        "body-too-large",
        "body-stalled",
        "body-malformed",
        "not-ready",
        "elsewhere",
        "unowned",
        "lease-ended",
        "moving",
        "no-grant",
        "no-instance",
        "overloaded",
        "unreachable",
        "repeat-running",
        "repeat-unknown",
        "repeat-mismatch",
        "upstream-refused",
        "late",
        "timed-out",
        "cut",
        "crossed",
        "endless",
    ];
}

impl From<&RequestError> for Reason {
    fn from(error: &RequestError) -> Self {
        match error {
            RequestError::PathMalformed => Self::PathMalformed,
            RequestError::UnsupportedVersion => Self::VersionOld,
            RequestError::DeadlineMalformed(_) => Self::DeadlineMalformed,
            RequestError::ServiceUnknown(_) => Self::ServiceUnknown,
            RequestError::RouteMissing { .. } => Self::RouteMissing,
            RequestError::KeyMissing { .. } => Self::KeyMissing,
            RequestError::BodyTooLarge { .. } => Self::BodyTooLarge,
            RequestError::BodyStalled => Self::BodyStalled,
            RequestError::BodyMalformed => Self::BodyMalformed,
            RequestError::NotReady(_) => Self::NotReady,
            RequestError::Refused { refusal, .. } => Self::from(refusal),
            RequestError::NoGrant => Self::NoGrant,
            RequestError::NoInstance(_) => Self::NoInstance,
            RequestError::Overloaded { .. } => Self::Overloaded,
            RequestError::Unreachable { .. } => Self::Unreachable,
            RequestError::RepeatRunning { .. } => Self::RepeatRunning,
            RequestError::RepeatUnknown => Self::RepeatUnknown,
            RequestError::RepeatMismatch => Self::RepeatMismatch,
            RequestError::UpstreamRefused { .. } => Self::UpstreamRefused,
            RequestError::DeadlinePassed => Self::Late,
            RequestError::TimedOut => Self::TimedOut,
            RequestError::ConnectionLost(_) => Self::Cut,
            RequestError::ResponseMismatch => Self::Crossed,
            RequestError::CloseDelimited => Self::Endless,
        }
    }
}

impl From<&Refusal> for Reason {
    fn from(refusal: &Refusal) -> Self {
        match refusal {
            Refusal::Elsewhere(_) => Self::Elsewhere,
            Refusal::Unowned => Self::Unowned,
            Refusal::LeaseEnded => Self::LeaseEnded,
            Refusal::Moving => Self::Moving,
        }
    }
}
