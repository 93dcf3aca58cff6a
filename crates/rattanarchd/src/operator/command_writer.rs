//! Executes commands by conditional updates of the configuration.

use std::time::Duration;
use std::time::Instant;

use rattanarch_config::Applied;
use rattanarch_config::Command;
use rattanarch_config::CommandError;
use rattanarch_config::CommandRequest;
use rattanarch_config::InstanceLocation;
use rattanarch_config::apply;
use rattanarch_config::check_instances_left;
use rattanarch_platform::PlatformError;
use rattanarch_platform::PutOutcome;
use rattanarch_platform::configuration_path;
use rattanarch_types::AuditEntry;
use rattanarch_types::ConfigObject;
use rattanarch_types::Configuration;
use rattanarch_types::FirmName;
use rattanarch_types::ServiceName;
use rattanarch_types::Sharing;
use rattanarch_types::SliceId;
use rattanarch_types::Version;
use serde_json::json;

use crate::operator::audit::find_write;
use crate::operator::audit::move_old_entries;
use crate::operator::conditional_update::ConditionalUpdate;
use crate::operator::name_claims::claim_name;
use crate::operator::object_reader::ObjectReader;
use crate::operator::object_reader::ReadError;

/// Longest time for which a command is attempted; less than operators wait for a response.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(4);
/// Most conflicting updates of other objects before a command fails. In each conflict, another command has succeeded.
const MAX_CONFLICTS: usize = 64;
/// Number of later changes up to which an update with a lost response is certain to be found by its write id: the
/// entries of one audit page.
const MAX_FINDABLE_CHANGES: Version = 128;
/// Largest configuration, in bytes; the platform accepts 1 MiB.
const MAX_CONFIGURATION_BYTES: usize = 900 << 10;

/// Outcome of a command. The variants' names are written to the log.
#[derive(Debug)]
pub(crate) enum WriteOutcome {
    /// Stored as this version, now or when the same request was sent earlier.
    Accepted(Version),
    /// Nothing to change at this version.
    AlreadySo(Version),
    /// Not stored, and will not be.
    NotAccepted(WriteError),
    /// May be stored now, later or never; with the reason.
    Unknown(String),
}

/// Why a command is not accepted. The variants' names are written to the log.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WriteError {
    /// The command is invalid for the configuration.
    #[error(transparent)]
    Command(#[from] CommandError),
    /// The platform could not be read, or did not accept the write.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The name belongs to another firm.
    #[error("{object} belongs to firm {firm:?}")]
    Taken {
        /// Object that was to be created.
        object: ConfigObject,
        /// Firm that it belongs to.
        firm: FirmName,
    },
    /// The service has a stored record with another number of slices.
    #[error(
        "service {service:?} has a stored record of {slices} slices (0: unkeyed); \
         create it with the same number, or choose another name"
    )]
    OtherSlices {
        /// The service.
        service: ServiceName,
        /// Number of slices in the record; 0 if the service is unkeyed.
        slices: SliceId,
    },
    /// The configuration would be too large for one object.
    #[error("configuration would have {size} bytes, more than {MAX_CONFIGURATION_BYTES}")]
    TooLarge {
        /// Its size in bytes.
        size: usize,
    },
    /// Too many other commands were executed at the same time.
    #[error("lost {MAX_CONFLICTS} races against changes of other objects; try again")]
    Races,
}

impl From<PlatformError> for WriteError {
    fn from(error: PlatformError) -> Self {
        Self::Read(error.into())
    }
}

/// Executes `request` on the configuration of `firm`. `instances` are the known instances of its services.
///
/// `repeated` states that an earlier request with the same write id may have been accepted.
pub(crate) fn write(
    reader: &ObjectReader,
    firm: &str,
    request: CommandRequest,
    repeated: bool,
    instances: &[InstanceLocation],
) -> WriteOutcome {
    let mut writer = CommandWriter { reader, request, repeated, instances, unresolved: None };
    match writer.run(firm) {
        Ok(outcome) => outcome,
        Err(error) => writer.error_outcome(error),
    }
}

struct CommandWriter<'a> {
    reader: &'a ObjectReader,
    request: CommandRequest,
    /// Whether an earlier request or update with the same write id may have been accepted.
    repeated: bool,
    instances: &'a [InstanceLocation],
    /// Why the outcome of the last update is unknown; `None` if it is known.
    unresolved: Option<String>,
}

impl CommandWriter<'_> {
    fn run(&mut self, firm: &str) -> Result<WriteOutcome, WriteError> {
        let deadline = Instant::now() + COMMAND_TIMEOUT;
        let mut configuration = self.reader.read_configuration(firm)?;
        for _ in 0..MAX_CONFLICTS {
            if let Some(entry) = self.find_earlier(&configuration)? {
                return Ok(WriteOutcome::Accepted(entry.after));
            }
            // A newer version without this request is stored, so no earlier update of it can take effect.
            self.unresolved = None;
            let next = match apply(&configuration, &self.request)? {
                Applied::AlreadySo => return Ok(WriteOutcome::AlreadySo(configuration.version)),
                Applied::Changed(next) => self.prepare(&configuration, next, deadline)?,
            };
            match self.store(&configuration, &next, deadline)? {
                PutOutcome::Accepted(version) => {
                    self.reader.cache_configuration(&next);
                    return Ok(WriteOutcome::Accepted(version));
                }
                PutOutcome::Conflict(object) => {
                    let base = configuration.version;
                    configuration = self.reader.parse_configuration(firm, object)?;
                    self.handle_conflict(base, configuration.version)?;
                }
            }
        }
        Err(WriteError::Races)
    }

    /// Prepares for another update after one of version `base` found version `found` stored.
    fn handle_conflict(&mut self, base: Version, found: Version) -> Result<(), WriteError> {
        if self.unresolved.is_some() && found > base + MAX_FINDABLE_CHANGES {
            return Err(WriteError::Races);
        }
        // The object of this request has not changed up to the version that the update was based on.
        self.request.seen = Some(base);
        self.repeated |= self.unresolved.is_some();
        Ok(())
    }

    /// Audit entry of an earlier update with the same write id; `None` if there is none.
    fn find_earlier(&self, configuration: &Configuration) -> Result<Option<AuditEntry>, ReadError> {
        if !self.repeated {
            return Ok(None);
        }
        find_write(self.reader.platform(), configuration, self.request.write_id)
    }

    /// Checks the changed configuration, claims the name of a created object, and moves old audit entries to pages.
    fn prepare(
        &self,
        before: &Configuration,
        mut next: Configuration,
        deadline: Instant,
    ) -> Result<Configuration, WriteError> {
        if !self.request.confirmed {
            check_instances_left(before, &next, self.instances)?;
        }
        self.check_record()?;
        let platform = self.reader.platform();
        let firm = claim_name(platform, &self.request.command, &next.firm, deadline)?;
        if firm != next.firm {
            return Err(WriteError::Taken { object: self.request.command.object(), firm });
        }
        move_old_entries(platform, &mut next);
        let size = json!(next).to_string().len();
        if size > MAX_CONFIGURATION_BYTES {
            return Err(WriteError::TooLarge { size });
        }
        Ok(next)
    }

    /// Refuses to create a service if an earlier one of the same name has left a record with another number of slices:
    /// keys would be mapped to other slices than the owners in the record have.
    fn check_record(&self) -> Result<(), WriteError> {
        let Command::CreateService { service, sharing, .. } = &self.request.command else {
            return Ok(());
        };
        let requested = match sharing {
            Sharing::Keyed(slices) => *slices,
            Sharing::Unkeyed => 0,
        };
        let record = self.reader.read_record(service)?;
        let slices = record.value.slice_count();
        if record.version == 0 || slices == requested {
            return Ok(());
        }
        Err(WriteError::OtherSlices { service: service.clone(), slices })
    }

    /// Replaces `before` by `next` in the platform.
    fn store(
        &mut self,
        before: &Configuration,
        next: &Configuration,
        deadline: Instant,
    ) -> Result<PutOutcome, WriteError> {
        let path = configuration_path(&next.firm);
        let mut update = ConditionalUpdate::new(self.reader.platform(), deadline);
        let outcome = update.put(&path, before.version, &json!(next));
        self.unresolved = update.unresolved;
        Ok(outcome?)
    }

    /// Outcome after `error`: unknown if the last update may still take effect.
    fn error_outcome(&self, error: WriteError) -> WriteOutcome {
        match &self.unresolved {
            Some(reason) => WriteOutcome::Unknown(reason.clone()),
            None => WriteOutcome::NotAccepted(error),
        }
    }
}
