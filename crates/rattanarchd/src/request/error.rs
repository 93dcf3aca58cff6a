//! Why a request was not answered by its upstream.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use rattanarch_ownership::Refusal;
use rattanarch_types::KeySource;
use rattanarch_types::ServiceName;
use rattanarch_types::Verdict;

/// When to come back if a key moves or its lease is renewed: a fraction of the lease.
const MOVE_RETRY: Duration = Duration::from_millis(100);
/// When to come back if the key has no owner: a takeover takes up to 2 s.
const TAKEOVER_RETRY: Duration = Duration::from_millis(500);
/// When to come back to an upstream that could not be reached or did not answer in time.
const FAULT_RETRY: Duration = Duration::from_secs(1);

/// Why a request was not answered by its upstream. Each kind has one status and one verdict.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum RequestError {
    /// The path does not begin with a service.
    #[error("the path does not begin with \"/\" and a service")]
    PathMalformed,
    /// The caller could not tell an answer's end from a cut.
    #[error("HTTP/1.1 is needed")]
    VersionOld,
    /// A field of the request could not be read.
    #[error("header {0:?} is not a whole number of milliseconds")]
    DeadlineMalformed(&'static str),
    /// The service is not served here.
    #[error("service {0:?} does not exist at this daemon")]
    ServiceUnknown(ServiceName),
    /// No route covers the path.
    #[error("no route of service {service:?} covers path {path:?}")]
    RouteMissing {
        /// Service that was asked.
        service: ServiceName,
        /// Path after the service.
        path: String,
    },
    /// The request has no key.
    #[error("the request has no key in {}", place(*from))]
    KeyMissing {
        /// Where the key is looked for.
        from: KeySource,
    },
    /// The request's body is too large.
    #[error("the body is larger than {limit} bytes")]
    BodyTooLarge {
        /// Largest body, in bytes.
        limit: u64,
    },
    /// The caller stopped sending its body.
    #[error("the body stopped arriving")]
    BodyStalled,
    /// The caller's body was malformed or ended early.
    #[error("the body is malformed or ended early")]
    BodyMalformed,
    /// The daemon has not learned its configuration or joined its service yet.
    #[error("service {0:?} is not yet configured at this daemon")]
    NotReady(ServiceName),
    /// The ownership rules refuse the key here.
    #[error("{refusal}")]
    Refused {
        /// Which rule.
        refusal: Refusal,
        /// Whether the request had been forwarded already.
        forwarded: bool,
    },
    /// The upstream holds no grant that is in force.
    #[error("the upstream holds no grant in force")]
    NoGrant,
    /// No member of the service takes work.
    #[error("no instance of service {0:?} takes work")]
    NoInstance(ServiceName),
    /// Every slot is taken.
    #[error("every slot is taken")]
    Overloaded {
        /// When a slot is expected to be free.
        retry: Duration,
    },
    /// The upstream or peer could not be reached.
    #[error("{address} could not be reached: {reason}")]
    Unreachable {
        /// Address that was tried.
        address: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// The first request with this idempotency key still runs.
    #[error("the first request with this idempotency key still runs")]
    RepeatRunning {
        /// When its answer may be known.
        retry: Duration,
    },
    /// The first request with this idempotency key may have run.
    #[error("the first request with this idempotency key may have run; its answer is not known")]
    RepeatUnknown,
    /// The idempotency key was used for another request.
    #[error("the idempotency key was used for another request")]
    RepeatMismatch,
    /// The upstream itself refused to run the request.
    #[error("the upstream refused the request with status {status}")]
    UpstreamRefused {
        /// Status of the refusal.
        status: u16,
        /// When to come back, if it said so.
        retry: Option<Duration>,
    },
    /// The deadline passed before the request was sent.
    #[error("the deadline passed before the request was sent")]
    Late,
    /// The upstream did not answer in time.
    #[error("no answer came in time")]
    TimedOut,
    /// The connection failed after bytes of the request had left.
    #[error("the connection failed before the answer: {0}")]
    Cut(String),
    /// The answer belonged to another request.
    #[error("the answer belonged to another request")]
    Crossed,
    /// The answer states no length, so that its end could not be told from a cut.
    #[error("the answer states no length")]
    Endless,
}

fn place(from: KeySource) -> String {
    match from {
        KeySource::Header => format!("header {:?}", crate::request::headers::KEY.as_str()),
        KeySource::Segment(place) => format!("path segment {place}"),
    }
}

impl RequestError {
    /// Whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::TimedOut
            | Self::Cut(_)
            | Self::Crossed
            | Self::Endless
            | Self::RepeatRunning { .. }
            | Self::RepeatUnknown => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }

    /// Status of the answer to the caller.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::PathMalformed
            | Self::DeadlineMalformed(_)
            | Self::KeyMissing { .. }
            | Self::BodyMalformed => StatusCode::BAD_REQUEST,
            Self::ServiceUnknown(_) | Self::RouteMissing { .. } => StatusCode::NOT_FOUND,
            Self::RepeatRunning { .. } | Self::RepeatUnknown => StatusCode::CONFLICT,
            Self::RepeatMismatch => StatusCode::UNPROCESSABLE_ENTITY,
            Self::VersionOld => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            Self::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyStalled => StatusCode::REQUEST_TIMEOUT,
            Self::Refused { refusal: Refusal::Elsewhere(_), forwarded: true } => {
                StatusCode::MISDIRECTED_REQUEST
            }
            Self::Late | Self::TimedOut | Self::UpstreamRefused { status: 504, .. } => {
                StatusCode::GATEWAY_TIMEOUT
            }
            Self::Cut(_) | Self::Crossed | Self::Endless => StatusCode::BAD_GATEWAY,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// When to come back; `None` if the same request would be refused again.
    pub fn retry(&self) -> Option<Duration> {
        match self {
            Self::Refused { refusal: Refusal::Unowned, .. } => Some(TAKEOVER_RETRY),
            Self::Refused { .. } | Self::NoGrant => Some(MOVE_RETRY),
            Self::Overloaded { retry } | Self::RepeatRunning { retry } => Some(*retry),
            Self::VersionOld => None,
            Self::UpstreamRefused { retry, .. } => Some(retry.unwrap_or(FAULT_RETRY)),
            _ if self.status().is_server_error() => Some(FAULT_RETRY),
            _ => None,
        }
    }

    /// Error type of RFC 9209 for the `Proxy-Status` field.
    pub fn proxy_error(&self) -> &'static str {
        match self {
            Self::PathMalformed
            | Self::VersionOld
            | Self::RepeatRunning { .. }
            | Self::RepeatUnknown
            | Self::RepeatMismatch
            | Self::DeadlineMalformed(_)
            | Self::KeyMissing { .. }
            | Self::BodyTooLarge { .. }
            | Self::BodyStalled
            | Self::BodyMalformed => "http_request_error",
            Self::ServiceUnknown(_) | Self::RouteMissing { .. } => "destination_not_found",
            Self::Refused { .. }
            | Self::NotReady(_)
            | Self::NoGrant
            | Self::NoInstance(_)
            | Self::Unreachable { .. }
            | Self::UpstreamRefused { .. } => "destination_unavailable",
            Self::Overloaded { .. } => "connection_limit_reached",
            Self::Late | Self::TimedOut => "http_response_timeout",
            Self::Cut(_) => "http_response_incomplete",
            Self::Crossed | Self::Endless => "http_protocol_error",
        }
    }
}
