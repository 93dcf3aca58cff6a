//! Whether services keep a place to run.

use rattanarch_types::Configuration;
use rattanarch_types::DataCentreName;
use rattanarch_types::InstanceId;
use rattanarch_types::ServiceName;
use rattanarch_types::Standing;

use crate::CommandError;

/// A known instance of a service. Instances announce themselves, so the configuration has no list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceLocation {
    /// Service of the instance.
    pub service: ServiceName,
    /// The instance.
    pub instance: InstanceId,
    /// Data centre that it stands in.
    pub data_centre: DataCentreName,
}

impl InstanceLocation {
    /// Whether it takes work. A data centre that the configuration does not name is in.
    pub fn is_in(&self, configuration: &Configuration) -> bool {
        let Some(service) = configuration.services.get(&self.service) else { return false };
        let data_centre = configuration.data_centres.get(&self.data_centre);
        let centre_in = data_centre.is_none_or(|found| found.standing == Standing::In);
        centre_in && !service.out.contains(&self.instance)
    }
}

/// Refuses a step that takes the last known place from a service which has one before it.
///
/// # Errors
/// [`CommandError::ServiceUnavailable`] names the first such service.
pub fn check_instances_left(
    before: &Configuration,
    after: &Configuration,
    places: &[InstanceLocation],
) -> Result<(), CommandError> {
    for service in after.services.keys() {
        let count = |at: &Configuration| {
            places.iter().filter(|place| place.service == *service && place.is_in(at)).count()
        };
        if count(before) > 0 && count(after) == 0 {
            return Err(CommandError::ServiceUnavailable(service.clone()));
        }
    }
    Ok(())
}
