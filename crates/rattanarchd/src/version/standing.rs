//! Standing of the members of a record, according to the configuration.

use rattanarch_types::BootId;
use rattanarch_types::Configuration;
use rattanarch_types::Member;
use rattanarch_types::Record;
use rattanarch_types::Standing;

/// Members that may own nothing: out of service themselves, or in a data centre that is out.
pub(crate) fn excluded_members(configuration: &Configuration, record: &Record) -> Vec<BootId> {
    let is_excluded = |member: &Member| is_excluded(configuration, &record.service, member);
    let excluded = record.members.iter().filter(|(_, member)| is_excluded(member));
    excluded.map(|(boot, _)| *boot).collect()
}

/// Members of `record` that an operator has declared lost.
pub(crate) fn lost_members(configuration: &Configuration, record: &Record) -> Vec<BootId> {
    let Some(service) = configuration.services.get(&record.service) else { return Vec::new() };
    service.lost.iter().copied().filter(|boot| record.members.contains_key(boot)).collect()
}

/// Whether a member of `service` or its data centre is out of service.
pub(crate) fn is_excluded(configuration: &Configuration, service: &str, member: &Member) -> bool {
    let data_centre = configuration.data_centres.get(&member.data_centre);
    let data_centre_out = data_centre.is_some_and(|it| it.standing == Standing::Out);
    let service = configuration.services.get(service);
    data_centre_out || service.is_some_and(|it| it.out.contains(&member.instance))
}
