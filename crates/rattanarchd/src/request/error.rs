//! Why a request got no response from its upstream.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use rattanarch_ownership::Refusal;
use rattanarch_types::KeySource;
use rattanarch_types::ServiceName;
use rattanarch_types::Verdict;

/// Retry delay while a key moves or its lease is renewed: a fraction of the lease.
const MOVE_RETRY: Duration = Duration::from_millis(100);
/// Retry delay if the key has no owner: a takeover takes up to 2 s.
const TAKEOVER_RETRY: Duration = Duration::from_millis(500);
/// Retry delay for an upstream that could not be reached or did not respond in time.
const FAILURE_RETRY: Duration = Duration::from_secs(1);

/// Why a request got no response from its upstream. Each variant determines the status and the
/// verdict of the response to the caller.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum RequestError {
    /// The path names no service, or is ambiguous (dot segments, empty segments, bad encoding).
    #[error("the path does not begin with \"/\" and a service name")]
    PathMalformed,
    /// The caller uses HTTP/1.0 or older, in which the end of a response can't be told from a lost
    /// connection.
    #[error("HTTP/1.1 or later is required")]
    UnsupportedVersion,
    /// The named header field is not a whole number of milliseconds.
    #[error("header {0:?} is not a whole number of milliseconds")]
    DeadlineMalformed(&'static str),
    /// This daemon does not serve the service.
    #[error("service {0:?} is not served by this daemon")]
    ServiceUnknown(ServiceName),
    /// No route of the service matches the path.
    #[error("no route of service {service:?} matches path {path:?}")]
    RouteMissing {
        /// Service that the request was sent to.
        service: ServiceName,
        /// Path after the service.
        path: String,
    },
    /// The request has no key, or an invalid one.
    #[error("the request has no key in {}", key_location(*key_source))]
    KeyMissing {
        /// Where the route expects the key.
        key_source: KeySource,
    },
    /// The request's body is too large.
    #[error("the body is larger than {limit} bytes")]
    BodyTooLarge {
        /// Maximum body size, in bytes.
        limit: u64,
    },
    /// The caller stopped sending the body.
    #[error("the body stopped arriving")]
    BodyStalled,
    /// The caller's body is malformed or ended early.
    #[error("the body is malformed or ended early")]
    BodyMalformed,
    /// The daemon has not received the configuration of its service yet.
    #[error("service {0:?} is not yet configured at this daemon")]
    NotReady(ServiceName),
    /// The ownership rules don't allow the request here.
    #[error("{refusal}")]
    Refused {
        /// The rule that does not allow it.
        refusal: Refusal,
        /// Set if another member owns the key, but a peer has already forwarded the request.
        forwarded: bool,
    },
    /// The upstream has no valid grant.
    #[error("the upstream has no valid grant")]
    NoGrant,
    /// No member of the service is eligible.
    #[error("no instance of service {0:?} is eligible to run requests")]
    NoInstance(ServiceName),
    /// All slots or connections are in use.
    #[error("all slots are in use")]
    Overloaded {
        /// Time until a slot is expected to be free.
        retry_after: Duration,
    },
    /// The upstream or peer could not be reached.
    #[error("{address} could not be reached: {reason}")]
    Unreachable {
        /// Address that was tried.
        address: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// The first request with this idempotency key is still running.
    #[error("the first request with this idempotency key is still running")]
    RepeatRunning {
        /// Time until its response may be known.
        retry_after: Duration,
    },
    /// The first request with this idempotency key may have run, and its response is unknown.
    #[error("the first request with this idempotency key may have run; its response is unknown")]
    RepeatUnknown,
    /// The idempotency key was first used for a different request.
    #[error("the idempotency key was used for a different request")]
    RepeatMismatch,
    /// The upstream itself refused to run the request.
    #[error("the upstream refused the request with status {status}")]
    UpstreamRefused {
        /// Status of the refusal.
        status: u16,
        /// Retry delay that the upstream stated, if any.
        retry_after: Option<Duration>,
    },
    /// The deadline passed before the request was sent.
    #[error("the deadline passed before the request was sent")]
    DeadlinePassed,
    /// The upstream or peer did not respond in time.
    #[error("no response was received in time")]
    TimedOut,
    /// The connection failed after bytes of the request were sent.
    #[error("the connection failed before the response was received: {0}")]
    ConnectionLost(String),
    /// The response does not belong to the request.
    #[error("the response belongs to another request")]
    ResponseMismatch,
    /// The response has no length and ends with its connection, so that its end can't be told from
    /// a lost connection.
    #[error("the response does not state its length")]
    CloseDelimited,
}

fn key_location(key_source: KeySource) -> String {
    match key_source {
        KeySource::Header => format!("header {:?}", crate::request::headers::KEY.as_str()),
        KeySource::Segment(index) => format!("path segment {index}"),
    }
}

impl RequestError {
    /// Whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::TimedOut
            | Self::ConnectionLost(_)
            | Self::ResponseMismatch
            | Self::CloseDelimited
            | Self::RepeatRunning { .. }
            | Self::RepeatUnknown => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }

    /// Status code of the response to the caller.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::PathMalformed
            | Self::DeadlineMalformed(_)
            | Self::KeyMissing { .. }
            | Self::BodyMalformed => StatusCode::BAD_REQUEST,
            Self::ServiceUnknown(_) | Self::RouteMissing { .. } => StatusCode::NOT_FOUND,
            Self::RepeatRunning { .. } | Self::RepeatUnknown => StatusCode::CONFLICT,
            Self::RepeatMismatch => StatusCode::UNPROCESSABLE_ENTITY,
            Self::UnsupportedVersion => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            Self::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyStalled => StatusCode::REQUEST_TIMEOUT,
            Self::Refused { refusal: Refusal::Elsewhere(_), forwarded: true } => {
                StatusCode::MISDIRECTED_REQUEST
            }
            Self::DeadlinePassed | Self::TimedOut | Self::UpstreamRefused { status: 504, .. } => {
                StatusCode::GATEWAY_TIMEOUT
            }
            Self::ConnectionLost(_) | Self::ResponseMismatch | Self::CloseDelimited => {
                StatusCode::BAD_GATEWAY
            }
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Delay after which the caller may retry; `None` if the same request would be refused again.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Refused { refusal: Refusal::Unowned, .. } => Some(TAKEOVER_RETRY),
            Self::Refused { .. } | Self::NoGrant => Some(MOVE_RETRY),
            Self::Overloaded { retry_after } | Self::RepeatRunning { retry_after } => {
                Some(*retry_after)
            }
            Self::UnsupportedVersion => None,
            Self::UpstreamRefused { retry_after, .. } => Some(retry_after.unwrap_or(FAILURE_RETRY)),
            _ if self.status().is_server_error() => Some(FAILURE_RETRY),
            _ => None,
        }
    }

    /// Error type for the `Proxy-Status` field (RFC 9209).
    pub fn proxy_error(&self) -> &'static str {
        match self {
            Self::PathMalformed
            | Self::UnsupportedVersion
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
            Self::DeadlinePassed | Self::TimedOut => "http_response_timeout",
            Self::ConnectionLost(_) => "http_response_incomplete",
            Self::ResponseMismatch | Self::CloseDelimited => "http_protocol_error",
        }
    }
}
