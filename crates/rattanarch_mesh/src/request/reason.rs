//! Why a request was refused.

use std::str::FromStr;
use std::time::Duration;

use derive_more::Display;

/// Why a request was refused; in each case it has not run and will not.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub(crate) enum Reason {
    /// No configuration is known yet.
    #[display("no-configuration")]
    NoConfiguration,
    /// No instance of the service is known.
    #[display("no-instance")]
    NoInstance,
    /// The request bears no key, and the service is divided by key.
    #[display("no-key")]
    NoKey,
    /// No instance owns the key.
    #[display("unowned")]
    Unowned,
    /// Another instance owns the key.
    #[display("not-owner")]
    NotOwner,
    /// The daemon at the owner's address serves another service.
    #[display("other-service")]
    OtherService,
    /// The key is on its way to another owner.
    #[display("moving")]
    Moving,
    /// The owner's lease has ended and is not yet renewed.
    #[display("lease-ended")]
    LeaseEnded,
    /// The upstream does not hold the key yet.
    #[display("no-grant")]
    NoGrant,
    /// It would not be answered in time.
    #[display("overloaded")]
    Overloaded,
    /// The link of the upstream's machine has no room for its answer in time.
    #[display("link-full")]
    LinkFull,
    /// The upstream itself refused it.
    #[display("upstream-refused")]
    UpstreamRefused,
    /// The upstream is on its way out.
    #[display("draining")]
    Draining,
    /// The data centre is taken out.
    #[display("evacuated")]
    Evacuated,
    /// No upstream is there.
    #[display("no-upstream")]
    NoUpstream,
    /// The daemon beside the upstream can't be reached.
    #[display("unreachable")]
    Unreachable,
    /// The daemon beside the upstream does not answer.
    #[display("silent")]
    Silent,
    /// The process stops.
    #[display("stopping")]
    Stopping,
}

impl Reason {
    const ALL: [Self; 18] = [
        Self::NoConfiguration,
        Self::NoInstance,
        Self::NoKey,
        Self::Unowned,
        Self::NotOwner,
        Self::OtherService,
        Self::Moving,
        Self::LeaseEnded,
        Self::NoGrant,
        Self::Overloaded,
        Self::LinkFull,
        Self::UpstreamRefused,
        Self::Draining,
        Self::Evacuated,
        Self::NoUpstream,
        Self::Unreachable,
        Self::Silent,
        Self::Stopping,
    ];

    /// After what time it is worth coming back, where nothing more is known.
    pub(crate) fn retry_after(self) -> Duration {
        match self {
            // A record is on its way by the store or a peer.
            Self::NotOwner | Self::Draining | Self::Evacuated => Duration::from_millis(100),
            // As long as a heartbeat takes to come.
            Self::NoGrant | Self::Moving | Self::LeaseEnded => Duration::from_millis(300),
            Self::Overloaded | Self::LinkFull => Duration::from_millis(150),
            // It refuses some requests and takes others.
            Self::UpstreamRefused => Duration::from_millis(50),
            // A process starts, or its keys move.
            Self::NoConfiguration
            | Self::NoInstance
            | Self::NoKey
            | Self::Unowned
            | Self::NoUpstream
            | Self::OtherService
            | Self::Unreachable
            | Self::Silent
            | Self::Stopping => Duration::from_millis(500),
        }
    }

    /// Whether another instance of a service without keys may take the request.
    pub(crate) fn may_go_elsewhere(self) -> bool {
        !matches!(self, Self::NoConfiguration | Self::NoInstance | Self::NoKey)
    }
}

/// A text that names no reason.
#[derive(Debug, thiserror::Error)]
#[error("{0:?} is no reason for a refusal")]
pub(crate) struct ReasonError(String);

impl FromStr for Reason {
    type Err = ReasonError;

    fn from_str(text: &str) -> Result<Self, ReasonError> {
        let known = Self::ALL.into_iter().find(|reason| reason.to_string() == text);
        known.ok_or_else(|| ReasonError(text.to_owned()))
    }
}
