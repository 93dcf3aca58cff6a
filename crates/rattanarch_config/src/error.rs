//! Errors of commands.

use rattanarch_types::AuditEntry;
use rattanarch_types::ConfigObject;
use rattanarch_types::DataCentreName;
use rattanarch_types::FirmName;
use rattanarch_types::OperatorName;
use rattanarch_types::ServiceName;
use rattanarch_types::Version;

/// Why a command was not applied; the configuration is unchanged.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum CommandError {
    /// The operator belongs to another firm.
    #[error("operator {operator:?} may not act for firm {firm:?}")]
    OtherFirm {
        /// Operator that submitted the command.
        operator: OperatorName,
        /// Firm of the configuration.
        firm: FirmName,
    },
    /// The configuration is not at the expected version.
    #[error("firm {firm:?} is at version {found}, not at the expected {expected}")]
    VersionMismatch {
        /// Firm of the configuration.
        firm: FirmName,
        /// Version that the command requires.
        expected: Version,
        /// Current version.
        found: Version,
    },
    /// Another command changed the same object first.
    #[error(
        "{} was changed first by {}, at version {}: {}",
        .0.object, .0.operator, .0.after, .0.command
    )]
    Conflict(Box<AuditEntry>),
    /// The audit trail no longer reaches back to the version that the operator saw.
    #[error("version {seen} is too old to tell whether {object} has changed since; query it again")]
    SeenTooOld {
        /// What the command changes.
        object: ConfigObject,
        /// Version that the operator saw.
        seen: Version,
    },
    /// The object is not in the firm's configuration.
    #[error("{object} does not exist in firm {firm:?}")]
    NotFound {
        /// The missing object.
        object: ConfigObject,
        /// Firm of the configuration.
        firm: FirmName,
    },
    /// The object exists already, and differs from what the command would create.
    #[error("{object} already exists in firm {firm:?} and differs; change it instead")]
    Exists {
        /// The existing object.
        object: ConfigObject,
        /// Firm of the configuration.
        firm: FirmName,
    },
    /// A name is too long, empty, or has characters that are not allowed.
    #[error(
        "name {0:?} must consist of 1 to 63 lower-case letters, digits and hyphens, and begin with a letter"
    )]
    InvalidName(String),
    /// A path prefix is too long, does not begin with `/`, or has characters that are not allowed.
    #[error(
        "prefix {0:?} must begin with \"/\" and have at most 256 printable ASCII characters, no spaces"
    )]
    InvalidPrefix(String),
    /// The number of slices is not between 1 and 4,096.
    #[error("service {service:?} must have 1 to 4096 slices, not {slices}")]
    InvalidSlices {
        /// The service.
        service: ServiceName,
        /// Number of slices in the command.
        slices: u16,
    },
    /// A timeout is not between 1 ms and 1 h.
    #[error("timeout must be between 1ms and 3600s")]
    InvalidTimeout,
    /// The configuration already has the maximum number of objects of a kind.
    #[error("firm {firm:?} is limited to {limit} {what}")]
    LimitReached {
        /// Kind of the objects, in the plural.
        what: &'static str,
        /// Firm of the configuration.
        firm: FirmName,
        /// Maximum number.
        limit: usize,
    },
    /// A data centre in service cannot be removed.
    #[error("data centre {0:?} is in service; take it out first")]
    InService(DataCentreName),
    /// The command would leave the firm without a data centre in service; it must be confirmed.
    #[error(
        "data centre {name:?} is the last in service of firm {firm:?}; repeat the command with the word \"twice\" to \
         confirm it"
    )]
    LastDataCentre {
        /// The data centre.
        name: DataCentreName,
        /// Firm of the configuration.
        firm: FirmName,
    },
    /// The command would leave the service without a routing rule or without an instance in service; it must be confirmed.
    #[error(
        "service {0:?} would be left without a rule or an instance; repeat the command with the word \"twice\" to \
         confirm it"
    )]
    ServiceUnavailable(ServiceName),
    /// The command would remove the service, with its rules and keys; it must be confirmed.
    #[error(
        "service {0:?} would be removed and serve no more requests; repeat the command with the word \"twice\" to \
         confirm it"
    )]
    ServiceRemoval(ServiceName),
    /// The command would declare a boot id lost; it must be confirmed that the process has stopped. If it still runs but
    /// is cut off, it could serve a key at the same time as the key's new owner.
    #[error(
        "boot id {0:#x} may still run without contact to its witnesses, and serve its keys at the same time as their \
         new owner until its lease ends; make sure that it has stopped, then repeat the command with the word \
         \"twice\" to confirm it"
    )]
    LossUnconfirmed(u64),
    /// The audit trail is full, because its entries could not be moved into audit pages.
    #[error(
        "the audit trail of firm {0:?} is full, because its pages cannot be written; no change is accepted"
    )]
    TrailFull(FirmName),
}

impl CommandError {
    /// Whether the command is refused only because its risk is not confirmed; the word `twice` in the command confirms it.
    pub fn needs_confirmation(&self) -> bool {
        matches!(
            self,
            Self::LastDataCentre { .. }
                | Self::ServiceUnavailable(_)
                | Self::ServiceRemoval(_)
                | Self::LossUnconfirmed(_)
        )
    }

    /// The conflicting change, if another command came first.
    pub fn winner(&self) -> Option<&AuditEntry> {
        match self {
            Self::Conflict(entry) => Some(entry),
            _ => None,
        }
    }
}
