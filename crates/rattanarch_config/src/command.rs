//! Commands of the operators' language.

use std::fmt;
use std::time::Duration;

use rattanarch_types::BootId;
use rattanarch_types::ConfigObject;
use rattanarch_types::DataCentreName;
use rattanarch_types::InstanceId;
use rattanarch_types::KeySource;
use rattanarch_types::Priority;
use rattanarch_types::ServiceName;
use rattanarch_types::Sharing;
use rattanarch_types::Standing;

use crate::text::duration_text;
use crate::text::quoted;

/// Fields of a routing rule to set; `None` leaves a field as it is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RouteChange {
    /// Where the key is in the request.
    pub key: Option<KeySource>,
    /// Priority of the rule's requests.
    pub priority: Option<Priority>,
    /// Maximum time to the first byte of the response, in whole milliseconds.
    pub timeout: Option<Duration>,
}

/// A change of the configuration.
///
/// Its display form is its text in the operators' language.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Creates a service with one rule, for the prefix `/`.
    CreateService {
        /// Name, unique over all firms.
        service: ServiceName,
        /// How its instances share its work; cannot be changed later.
        sharing: Sharing,
        /// Fields of its rule that differ from the default.
        route: RouteChange,
    },
    /// Changes a service's rule for the prefix `/`.
    ChangeService {
        /// The service.
        service: ServiceName,
        /// Fields to set.
        route: RouteChange,
    },
    /// Removes a service with its rules.
    RemoveService {
        /// The service.
        service: ServiceName,
    },
    /// Creates a data centre, which is in service at once.
    CreateDataCentre {
        /// Name, unique over all firms.
        name: DataCentreName,
        /// Region that it is in.
        region: String,
    },
    /// Changes a data centre's region.
    ChangeDataCentre {
        /// The data centre.
        name: DataCentreName,
        /// Region that it is in.
        region: String,
    },
    /// Removes a data centre that is out of service.
    RemoveDataCentre {
        /// The data centre.
        name: DataCentreName,
    },
    /// Creates a routing rule.
    CreateRoute {
        /// Service of the rule.
        service: ServiceName,
        /// Path prefix; begins with `/`.
        prefix: String,
        /// Fields that differ from the default.
        route: RouteChange,
    },
    /// Changes a routing rule.
    ChangeRoute {
        /// Service of the rule.
        service: ServiceName,
        /// Path prefix of the rule.
        prefix: String,
        /// Fields to set.
        route: RouteChange,
    },
    /// Removes a routing rule.
    RemoveRoute {
        /// Service of the rule.
        service: ServiceName,
        /// Path prefix of the rule.
        prefix: String,
    },
    /// Takes a data centre out of service or brings it back.
    SetDataCentre {
        /// The data centre.
        name: DataCentreName,
        /// Whether it should be in service.
        standing: Standing,
    },
    /// Takes an instance out of service or brings it back.
    SetInstance {
        /// Service of the instance.
        service: ServiceName,
        /// The instance.
        instance: InstanceId,
        /// Whether it should be in service.
        standing: Standing,
    },
    /// Declares one boot id of an instance lost, so that its slices are taken over without proof that it has stopped.
    DeclareLost {
        /// Service of the instance.
        service: ServiceName,
        /// The boot id.
        boot: BootId,
    },
}

impl Command {
    /// The object that the command changes.
    pub fn object(&self) -> ConfigObject {
        match self {
            Self::CreateService { service, .. } | Self::RemoveService { service } => {
                ConfigObject::Service(service.clone())
            }
            Self::ChangeService { service, .. } => {
                ConfigObject::Route { service: service.clone(), prefix: "/".to_owned() }
            }
            Self::CreateDataCentre { name, .. }
            | Self::ChangeDataCentre { name, .. }
            | Self::RemoveDataCentre { name }
            | Self::SetDataCentre { name, .. } => ConfigObject::DataCentre(name.clone()),
            Self::CreateRoute { service, prefix, .. }
            | Self::ChangeRoute { service, prefix, .. }
            | Self::RemoveRoute { service, prefix } => {
                ConfigObject::Route { service: service.clone(), prefix: prefix.clone() }
            }
            Self::SetInstance { service, instance, .. } => {
                ConfigObject::Instance { service: service.clone(), instance: instance.clone() }
            }
            Self::DeclareLost { service, boot } => {
                ConfigObject::Boot { service: service.clone(), boot: *boot }
            }
        }
    }
}

impl fmt::Display for RouteChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.key {
            Some(KeySource::Header) => write!(f, " key header")?,
            Some(KeySource::Segment(segment)) => write!(f, " key segment {segment}")?,
            None => {}
        }
        match self.priority {
            Some(Priority::Deferrable) => write!(f, " priority deferrable")?,
            Some(Priority::Normal) => write!(f, " priority normal")?,
            Some(Priority::Urgent) => write!(f, " priority urgent")?,
            None => {}
        }
        match self.timeout {
            Some(timeout) => write!(f, " timeout {}", duration_text(timeout)),
            None => Ok(()),
        }
    }
}

impl fmt::Display for Command {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::CreateService { service, sharing, route } => {
                write!(f, "create service {} {}{route}", quoted(service), sharing_text(*sharing))
            }
            Self::ChangeService { service, route } => {
                write!(f, "change service {}{route}", quoted(service))
            }
            Self::RemoveService { service } => write!(f, "remove service {}", quoted(service)),
            Self::CreateDataCentre { name, region } => {
                write!(f, "create data-centre {} region {}", quoted(name), quoted(region))
            }
            Self::ChangeDataCentre { name, region } => {
                write!(f, "change data-centre {} region {}", quoted(name), quoted(region))
            }
            Self::RemoveDataCentre { name } => write!(f, "remove data-centre {}", quoted(name)),
            Self::CreateRoute { service, prefix, route } => {
                write!(f, "create route {} in {}{route}", quoted(prefix), quoted(service))
            }
            Self::ChangeRoute { service, prefix, route } => {
                write!(f, "change route {} in {}{route}", quoted(prefix), quoted(service))
            }
            Self::RemoveRoute { service, prefix } => {
                write!(f, "remove route {} in {}", quoted(prefix), quoted(service))
            }
            Self::SetDataCentre { name, standing } => {
                write!(f, "{} data-centre {}", standing_text(*standing), quoted(name))
            }
            Self::SetInstance { service, instance, standing } => {
                let verb = standing_text(*standing);
                write!(f, "{verb} upstream {} in {}", quoted(instance), quoted(service))
            }
            Self::DeclareLost { service, boot } => {
                write!(f, "declare lost {boot:#x} in {}", quoted(service))
            }
        }
    }
}

fn sharing_text(sharing: Sharing) -> String {
    match sharing {
        Sharing::Keyed(slices) => format!("keyed {slices}"),
        Sharing::Unkeyed => "unkeyed".to_owned(),
    }
}

fn standing_text(standing: Standing) -> &'static str {
    match standing {
        Standing::In => "bring back",
        Standing::Out => "take out",
    }
}
