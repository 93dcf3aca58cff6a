//! Known instances with their data centres, and the check that a change leaves each service an instance in service.

use rattanarch_types::Configuration;
use rattanarch_types::DataCentreName;
use rattanarch_types::InstanceId;
use rattanarch_types::ServiceName;
use rattanarch_types::Standing;

use crate::CommandError;

/// A known instance of a service and its data centre. Instances announce themselves, so the configuration does not list
/// them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceLocation {
    /// Service of the instance.
    pub service: ServiceName,
    /// The instance.
    pub instance: InstanceId,
    /// Data centre that it runs in.
    pub data_centre: DataCentreName,
}

impl InstanceLocation {
    /// Whether the instance is in service according to `configuration`. A data centre that the configuration does not name counts as in service.
    pub fn is_in_service(&self, configuration: &Configuration) -> bool {
        let Some(service) = configuration.services.get(&self.service) else { return false };
        let data_centre = configuration.data_centres.get(&self.data_centre);
        let centre_in_service = data_centre.is_none_or(|found| found.standing == Standing::In);
        centre_in_service && !service.out.contains(&self.instance)
    }
}

/// Refuses a change after which a service has no known instance in service, if it had one before.
///
/// # Errors
/// Returns [`CommandError::ServiceUnavailable`] with the first such service.
pub fn check_instances_left(
    before: &Configuration,
    after: &Configuration,
    instances: &[InstanceLocation],
) -> Result<(), CommandError> {
    for service in after.services.keys() {
        let count_in_service = |configuration: &Configuration| {
            instances
                .iter()
                .filter(|instance| {
                    instance.service == *service && instance.is_in_service(configuration)
                })
                .count()
        };
        if count_in_service(before) > 0 && count_in_service(after) == 0 {
            return Err(CommandError::ServiceUnavailable(service.clone()));
        }
    }
    Ok(())
}
