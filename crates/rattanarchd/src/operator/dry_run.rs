//! What a command would do.

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

/// Says what `order` would change in `configuration` and move in `records`.
///
/// # Errors
/// Why the command would be refused however often it is said.
pub(crate) fn effects(
    configuration: &Configuration,
    order: CommandRequest,
    records: &[&Record],
) -> Result<Vec<String>, CommandError> {
    let places = places(records);
    let risk = match apply(configuration, &order.clone().with_confirmed(false)) {
        Ok(Applied::Changed(next)) => check_instances_left(configuration, &next, &places).err(),
        Ok(Applied::AlreadySo) => return Ok(vec!["nothing: it is already so".to_owned()]),
        Err(error) if error.needs_confirmation() => Some(error),
        Err(error) => return Err(error),
    };
    let Applied::Changed(next) = apply(configuration, &order.with_confirmed(true))? else {
        return Ok(vec!["nothing: it is already so".to_owned()]);
    };
    let mut effects = vec![format!("version {} would become {}", next.version - 1, next.version)];
    for record in records {
        effects.extend(moves(configuration, &next, record));
    }
    effects.extend(risk.map(|risk| format!("unless said twice, it is refused: {risk}")));
    Ok(effects)
}

/// Known instances of the services of `records`.
pub(crate) fn places(records: &[&Record]) -> Vec<InstanceLocation> {
    let place = |record: &Record, member: &Member| InstanceLocation {
        service: record.service.clone(),
        instance: member.instance.clone(),
        data_centre: member.data_centre.clone(),
    };
    let of_record = |record: &&Record| {
        let members = record.members.values().filter(|member| !member.leaving);
        members.map(|member| place(record, member)).collect::<Vec<_>>()
    };
    records.iter().flat_map(of_record).collect()
}

fn moves(before: &Configuration, after: &Configuration, record: &Record) -> Vec<String> {
    let service = &record.service;
    let describe = |boot: BootId, member: &Member, what: &str| {
        let slices = record.slices_of(boot).count();
        format!("service {service}: instance {} {what}, {slices} slices move", member.instance)
    };
    let mut lines = Vec::new();
    for (&boot, member) in &record.members {
        let was_in = takes_work(before, record, boot, member);
        let is_in = takes_work(after, record, boot, member);
        match (was_in, is_in) {
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

fn takes_work(
    configuration: &Configuration,
    record: &Record,
    boot: BootId,
    member: &Member,
) -> bool {
    let place = InstanceLocation {
        service: record.service.clone(),
        instance: member.instance.clone(),
        data_centre: member.data_centre.clone(),
    };
    let service = configuration.services.get(&record.service);
    let lost = service.is_some_and(|service| service.lost.contains(&boot));
    place.is_in(configuration) && !lost
}
