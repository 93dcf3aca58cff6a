//! Objects of a configuration that operators' commands change.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::BootId;
use crate::DataCentreName;
use crate::InstanceId;
use crate::ServiceName;

/// Part of a firm's configuration that a command changes.
#[derive(Clone, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigObject {
    /// A service, including its routes and instances.
    #[display("service {_0}")]
    Service(ServiceName),
    /// One route of a service.
    #[display("route {prefix} of service {service}")]
    Route {
        /// Service of the route.
        service: ServiceName,
        /// Path prefix of the route.
        prefix: String,
    },
    /// One instance of a service.
    #[display("upstream {instance} of service {service}")]
    Instance {
        /// Service of the instance.
        service: ServiceName,
        /// The instance.
        instance: InstanceId,
    },
    /// One boot id of an instance of a service.
    #[serde(rename = "life")]
    #[display("boot id {boot:#x} of service {service}")]
    Boot {
        /// Service of the instance.
        service: ServiceName,
        /// The boot id.
        boot: BootId,
    },
    /// A data centre.
    #[display("data centre {_0}")]
    DataCentre(DataCentreName),
}

impl ConfigObject {
    /// Whether changes of the two objects may conflict: they are equal, or one contains the other.
    pub fn overlaps(&self, other: &Self) -> bool {
        self == other || self.contains(other) || other.contains(self)
    }

    fn contains(&self, other: &Self) -> bool {
        matches!(self, Self::Service(name) if other.service() == Some(name))
    }

    /// Service that it belongs to; `None` for a data centre.
    pub fn service(&self) -> Option<&ServiceName> {
        match self {
            Self::Service(service)
            | Self::Route { service, .. }
            | Self::Instance { service, .. }
            | Self::Boot { service, .. } => Some(service),
            Self::DataCentre(_) => None,
        }
    }
}
