//! Why a command is refused.

use rattanarch_types::AuditEntry;
use rattanarch_types::ConfigObject;
use rattanarch_types::DataCentreName;
use rattanarch_types::FirmName;
use rattanarch_types::OperatorName;
use rattanarch_types::ServiceName;
use rattanarch_types::Version;

/// A command that was not applied; the configuration stays as it was.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum CommandError {
    /// The operator is of another firm.
    #[error("operator {operator:?} may not act for firm {firm:?}")]
    OtherFirm {
        /// Who gave the command.
        operator: OperatorName,
        /// Firm of the configuration.
        firm: FirmName,
    },
    /// The configuration is not at the expected version.
    #[error("firm {firm:?} is at version {found}, not at the expected {expected}")]
    VersionMismatch {
        /// Firm of the configuration.
        firm: FirmName,
        /// Version that the command is for.
        expected: Version,
        /// Version that stands.
        found: Version,
    },
    /// Another command changed the same object first.
    #[error(
        "{} was changed first by {}, at version {}: {}",
        .0.object, .0.operator, .0.after, .0.command
    )]
    Conflict(Box<AuditEntry>),
    /// Changes since the version that the operator saw are no longer at hand.
    #[error("version {seen} is too old to tell whether {object} changed since; look again")]
    SeenTooOld {
        /// What the command changes.
        object: ConfigObject,
        /// Version that the operator saw.
        seen: Version,
    },
    /// The object is not in the firm's configuration.
    #[error("{object} does not exist in firm {firm:?}")]
    NotFound {
        /// What does not exist.
        object: ConfigObject,
        /// Firm of the configuration.
        firm: FirmName,
    },
    /// The object exists already, and differs from what the command would create.
    #[error("{object} exists already in firm {firm:?} and differs; change it instead")]
    Exists {
        /// What exists.
        object: ConfigObject,
        /// Firm of the configuration.
        firm: FirmName,
    },
    /// A name breaks the rules for names.
    #[error("name {0:?} must be 1 to 63 lower-case letters, digits and hyphens, a letter first")]
    InvalidName(String),
    /// A path prefix breaks the rules for prefixes.
    #[error("prefix {0:?} must begin with \"/\" and be at most 256 characters without spaces")]
    InvalidPrefix(String),
    /// A service must have 1 to 4,096 slices.
    #[error("service {service:?} must have 1 to 4096 slices, not {slices}")]
    InvalidSlices {
        /// The service.
        service: ServiceName,
        /// Slices in the command.
        slices: u16,
    },
    /// A timeout is not between 1 ms and 1 h.
    #[error("timeout must lie between 1ms and 3600s")]
    InvalidTimeout,
    /// A collection of the configuration is full.
    #[error("{what} of firm {firm:?} are limited to {limit}")]
    LimitReached {
        /// What there would be too many of.
        what: &'static str,
        /// Firm of the configuration.
        firm: FirmName,
        /// Largest number.
        limit: usize,
    },
    /// Only a data centre that is out may be removed.
    #[error("data centre {0:?} is in service; take it out first")]
    InService(DataCentreName),
    /// No data centre of the firm would be in service.
    #[error("data centre {name:?} is the last in service of firm {firm:?}; say it twice to do it")]
    LastDataCentre {
        /// The data centre.
        name: DataCentreName,
        /// Firm of the configuration.
        firm: FirmName,
    },
    /// No instance of the service would be in service.
    #[error("service {0:?} would be left without a place; say it twice to do it")]
    ServiceUnavailable(ServiceName),
    /// The service would go with its rules, and its keys with it.
    #[error("service {0:?} would be removed and serve no request; say it twice to do it")]
    ServiceRemoval(ServiceName),
    /// An instance that lives on unheard might serve a key beside its new owner.
    #[error(
        "boot id {0:#x}, if it lives on cut off from its witnesses, may serve its keys beside \
         their new owner until its lease ends; be sure that it has stopped, then say it twice"
    )]
    LossUnproved(u64),
    /// Too many entries wait to be moved into audit pages.
    #[error("the audit trail of firm {0:?} cannot be moved into its pages; nothing may change")]
    TrailFull(FirmName),
}

impl CommandError {
    /// Whether saying the command twice would get it accepted.
    pub fn needs_confirmation(&self) -> bool {
        matches!(
            self,
            Self::LastDataCentre { .. }
                | Self::ServiceUnavailable(_)
                | Self::ServiceRemoval(_)
                | Self::LossUnproved(_)
        )
    }

    /// The change that came first, for a lost race.
    pub fn winner(&self) -> Option<&AuditEntry> {
        match self {
            Self::Conflict(entry) => Some(entry),
            _ => None,
        }
    }
}
