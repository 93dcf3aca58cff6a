//! Effects that a command would have.

use rattanarch_config::Applied;
use rattanarch_config::CommandError;
use rattanarch_config::CommandRequest;
use rattanarch_config::InstanceLocation;
use rattanarch_config::apply;
use rattanarch_config::check_instances_left;
use rattanarch_types::BootId;
use rattanarch_types::Configuration;
use rattanarch_types::Member;
use rattanarch_types::Record;

/// Lists what `request` would change in `configuration`, and which slices of `records` would move.
///
/// # Errors
/// If the command would be refused even with `twice`.
pub(crate) fn list_effects(
    configuration: &Configuration,
    request: CommandRequest,
    records: &[&Record],
) -> Result<Vec<String>, CommandError> {
    let instances = known_instances(records);
    let risk = match apply(configuration, &request.clone().with_confirmed(false)) {
        Ok(Applied::Changed(next)) => check_instances_left(configuration, &next, &instances).err(),
        Ok(Applied::AlreadySo) => return Ok(vec!["nothing: it is already so".to_owned()]),
        Err(error) if error.needs_confirmation() => Some(error),
        Err(error) => return Err(error),
    };
    let Applied::Changed(next) = apply(configuration, &request.with_confirmed(true))? else {
        return Ok(vec!["nothing: it is already so".to_owned()]);
    };
    let mut effects = vec![format!("version {} would become {}", next.version - 1, next.version)];
    for record in records {
        effects.extend(describe_moves(configuration, &next, record));
    }
    effects.extend(risk.map(|risk| format!("refused unless confirmed: {risk}")));
    Ok(effects)
}

/// Instances that are members in `records` and not leaving.
pub(crate) fn known_instances(records: &[&Record]) -> Vec<InstanceLocation> {
    let location = |record: &Record, member: &Member| InstanceLocation {
        service: record.service.clone(),
        instance: member.instance.clone(),
        data_centre: member.data_centre.clone(),
    };
    let of_record = |record: &&Record| {
        let members = record.members.values().filter(|member| !member.leaving);
        members.map(|member| location(record, member)).collect::<Vec<_>>()
    };
    records.iter().flat_map(of_record).collect()
}

fn describe_moves(before: &Configuration, after: &Configuration, record: &Record) -> Vec<String> {
    let service = &record.service;
    let describe = |boot: BootId, member: &Member, what: &str| {
        let slices = record.slices_of(boot).count();
        format!("service {service}: instance {} {what}, {slices} slices move", member.instance)
    };
    let mut lines = Vec::new();
    for (&boot, member) in &record.members {
        let was_eligible = is_eligible(before, record, boot, member);
        let eligible = is_eligible(after, record, boot, member);
        match (was_eligible, eligible) {
            (true, false) => lines.push(describe(boot, member, "takes no more work")),
            (false, true) => lines.push(format!(
                "service {service}: instance {} takes work again, slices move to it",
                member.instance
            )),
            _ => {}
        }
    }
    lines
}

/// Whether a member may own slices: it is in service and not declared lost.
fn is_eligible(
    configuration: &Configuration,
    record: &Record,
    boot: BootId,
    member: &Member,
) -> bool {
    let location = InstanceLocation {
        service: record.service.clone(),
        instance: member.instance.clone(),
        data_centre: member.data_centre.clone(),
    };
    let service = configuration.services.get(&record.service);
    let lost = service.is_some_and(|service| service.lost.contains(&boot));
    location.is_in_service(configuration) && !lost
}
