//! Carries a command out by conditional update.

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
use crate::operator::audit::make_room;
use crate::operator::firms::Firms;
use crate::operator::firms::ReadError;
use crate::operator::names::claim;
use crate::operator::update::Update;

/// Longest time that a command is tried; below the time that people wait.
const TRY_FOR: Duration = Duration::from_secs(4);
/// Races on other objects that a command goes through; each lost one means another's success.
const RACES: usize = 64;
/// Changes after which an update whose answer was lost may no longer be found: a page's entries.
const SETTLED_WITHIN: Version = 128;
/// Largest configuration, in bytes; the platform takes 1 MiB.
const SIZE_LIMIT: usize = 900 << 10;

/// How a command ended.
#[derive(Debug)]
pub(crate) enum Written {
    /// Stored at this version, by this order or by an earlier attempt of it.
    Accepted(Version),
    /// Nothing to change.
    AlreadySo(Version),
    /// Not stored, and it will not be.
    NotAccepted(WriteError),
    /// Stored now, later or never.
    Unknown(String),
}

/// Why a command is not accepted.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WriteError {
    /// The command is refused.
    #[error(transparent)]
    Command(#[from] CommandError),
    /// The platform could not be read, or did not take the write.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// Another firm has the name.
    #[error("{object} belongs to firm {firm:?}")]
    Taken {
        /// What was to be created.
        object: ConfigObject,
        /// Firm that it belongs to.
        firm: FirmName,
    },
    /// A record of the service is stored whose keys are divided otherwise.
    #[error(
        "service {service:?} has a stored record of {slices} slices (0: unkeyed); \
         create it so, or under another name"
    )]
    OtherSlices {
        /// The service.
        service: ServiceName,
        /// Slices of the record.
        slices: SliceId,
    },
    /// The configuration would not fit into one object.
    #[error("configuration would have {size} bytes, more than {SIZE_LIMIT}")]
    TooLarge {
        /// Its size in bytes.
        size: usize,
    },
    /// Too many others wrote at the same time.
    #[error("lost {RACES} races against changes of other objects; try again")]
    Races,
}

impl From<PlatformError> for WriteError {
    fn from(error: PlatformError) -> Self {
        Self::Read(error.into())
    }
}

/// Carries `order` out on the configuration of `firm`; `places` are the known instances.
///
/// `repeated` says that an earlier attempt of the same write id may have been accepted.
pub(crate) fn write(
    firms: &Firms,
    firm: &str,
    order: CommandRequest,
    repeated: bool,
    places: &[InstanceLocation],
) -> Written {
    let mut attempt = Attempt { firms, order, repeated, places, unsettled: None };
    match attempt.run(firm) {
        Ok(written) => written,
        Err(error) => attempt.failed(error),
    }
}

struct Attempt<'a> {
    firms: &'a Firms,
    order: CommandRequest,
    /// Whether an earlier attempt may have been accepted.
    repeated: bool,
    places: &'a [InstanceLocation],
    /// Why the outcome of the last update is open.
    unsettled: Option<String>,
}

impl Attempt<'_> {
    fn run(&mut self, firm: &str) -> Result<Written, WriteError> {
        let deadline = Instant::now() + TRY_FOR;
        let mut configuration = self.firms.read_configuration(firm)?;
        for _ in 0..RACES {
            if let Some(entry) = self.earlier(&configuration)? {
                return Ok(Written::Accepted(entry.after));
            }
            // The configuration has moved on without this order, so no attempt of it can land.
            self.unsettled = None;
            let next = match apply(&configuration, &self.order)? {
                Applied::AlreadySo => return Ok(Written::AlreadySo(configuration.version)),
                Applied::Changed(next) => self.prepare(&configuration, next, deadline)?,
            };
            match self.store(&configuration, &next, deadline)? {
                PutOutcome::Accepted(version) => {
                    self.firms.learn_configuration(&next);
                    return Ok(Written::Accepted(version));
                }
                PutOutcome::Conflict(object) => {
                    let tried = configuration.version;
                    configuration = self.firms.take_configuration(firm, object)?;
                    self.lose(tried, configuration.version)?;
                }
            }
        }
        Err(WriteError::Races)
    }

    /// Notes that an update of version `tried` met version `found`.
    fn lose(&mut self, tried: Version, found: Version) -> Result<(), WriteError> {
        if self.unsettled.is_some() && found > tried + SETTLED_WITHIN {
            return Err(WriteError::Races);
        }
        // Nothing that this order is about has changed up to the version that it was tried on.
        self.order.seen = Some(tried);
        self.repeated |= self.unsettled.is_some();
        Ok(())
    }

    fn earlier(&self, configuration: &Configuration) -> Result<Option<AuditEntry>, ReadError> {
        if !self.repeated {
            return Ok(None);
        }
        find_write(self.firms.platform(), configuration, self.order.write_id)
    }

    fn prepare(
        &self,
        before: &Configuration,
        mut next: Configuration,
        deadline: Instant,
    ) -> Result<Configuration, WriteError> {
        if !self.order.confirmed {
            check_instances_left(before, &next, self.places)?;
        }
        self.check_record()?;
        let platform = self.firms.platform();
        let firm = claim(platform, &self.order.command, &next.firm, deadline)?;
        if firm != next.firm {
            return Err(WriteError::Taken { object: self.order.command.object(), firm });
        }
        make_room(platform, &mut next);
        let size = json!(next).to_string().len();
        if size > SIZE_LIMIT {
            return Err(WriteError::TooLarge { size });
        }
        Ok(next)
    }

    /// Refuses to create a service over the record that an earlier one of its name left: a key
    /// would fall into other slices than the record's owners have.
    fn check_record(&self) -> Result<(), WriteError> {
        let Command::CreateService { service, sharing, .. } = &self.order.command else {
            return Ok(());
        };
        let wanted = match sharing {
            Sharing::Keyed(slices) => *slices,
            Sharing::Unkeyed => 0,
        };
        let look = self.firms.read_record(service)?;
        let slices = look.value.slice_count();
        if look.version == 0 || slices == wanted {
            return Ok(());
        }
        Err(WriteError::OtherSlices { service: service.clone(), slices })
    }

    fn store(
        &mut self,
        before: &Configuration,
        next: &Configuration,
        deadline: Instant,
    ) -> Result<PutOutcome, WriteError> {
        let path = configuration_path(&next.firm);
        let mut update = Update::new(self.firms.platform(), deadline);
        let put = update.put(&path, before.version, &json!(next));
        self.unsettled = update.unsettled;
        Ok(put?)
    }

    fn failed(&self, error: WriteError) -> Written {
        match &self.unsettled {
            Some(reason) => Written::Unknown(reason.clone()),
            None => Written::NotAccepted(error),
        }
    }
}
