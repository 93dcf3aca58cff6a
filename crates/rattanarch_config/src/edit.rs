//! Changes that each command makes in a configuration, apart from its version and audit trail.

use rattanarch_types::BootId;
use rattanarch_types::ConfigObject;
use rattanarch_types::Configuration;
use rattanarch_types::DataCentre;
use rattanarch_types::Route;
use rattanarch_types::Service;
use rattanarch_types::Sharing;
use rattanarch_types::Standing;

use crate::Command;
use crate::CommandError;
use crate::RouteChange;
use crate::limits::DATA_CENTRE_LIMIT;
use crate::limits::LOST_LIMIT;
use crate::limits::OUT_LIMIT;
use crate::limits::ROUTE_LIMIT;
use crate::limits::SERVICE_LIMIT;
use crate::limits::check_name;
use crate::limits::check_prefix;
use crate::limits::check_room;
use crate::limits::check_slices;
use crate::limits::check_timeout;

type EditResult = Result<(), CommandError>;

/// Changes `next` as `command` requires; leaves it equal if it already is so.
pub(crate) fn edit(next: &mut Configuration, command: &Command, confirmed: bool) -> EditResult {
    match command {
        Command::CreateService { service, sharing, route } => {
            create_service(next, service, *sharing, *route)
        }
        Command::ChangeService { service, route } => change_route(next, service, "/", *route),
        Command::RemoveService { service } => remove_service(next, service, confirmed),
        Command::CreateDataCentre { name, region } => create_data_centre(next, name, region),
        Command::ChangeDataCentre { name, region } => {
            check_name(region)?;
            data_centre(next, name)?.region.clone_from(region);
            Ok(())
        }
        Command::RemoveDataCentre { name } => remove_data_centre(next, name),
        Command::CreateRoute { service, prefix, route } => {
            create_route(next, service, prefix, *route)
        }
        Command::ChangeRoute { service, prefix, route } => {
            change_route(next, service, prefix, *route)
        }
        Command::RemoveRoute { service, prefix } => remove_route(next, service, prefix, confirmed),
        Command::SetDataCentre { name, standing } => {
            set_data_centre(next, name, *standing, confirmed)
        }
        Command::SetInstance { service, instance, standing } => {
            set_instance(next, service, instance, *standing)
        }
        Command::DeclareLost { service, boot } => declare_lost(next, service, *boot, confirmed),
    }
}

fn create_service(
    next: &mut Configuration,
    name: &str,
    sharing: Sharing,
    change: RouteChange,
) -> EditResult {
    check_name(name)?;
    check_slices(name, sharing)?;
    let route = apply_route_change(Route::default(), change)?;
    let Some(service) = next.services.get(name) else {
        check_room("services", next, next.services.len(), SERVICE_LIMIT)?;
        let service = Service { sharing, routes: vec![route], ..Service::default() };
        next.services.insert(name.to_owned(), service);
        return Ok(());
    };
    if service.sharing == sharing && service.routes.contains(&route) {
        return Ok(());
    }
    Err(already_exists(next, ConfigObject::Service(name.to_owned())))
}

fn remove_service(next: &mut Configuration, name: &str, confirmed: bool) -> EditResult {
    if next.services.contains_key(name) && !confirmed {
        return Err(CommandError::ServiceRemoval(name.to_owned()));
    }
    next.services.remove(name);
    Ok(())
}

fn create_data_centre(next: &mut Configuration, name: &str, region: &str) -> EditResult {
    check_name(name)?;
    check_name(region)?;
    let Some(found) = next.data_centres.get(name) else {
        check_room("data centres", next, next.data_centres.len(), DATA_CENTRE_LIMIT)?;
        let data_centre = DataCentre { region: region.to_owned(), standing: Standing::In };
        next.data_centres.insert(name.to_owned(), data_centre);
        return Ok(());
    };
    if found.region == region {
        return Ok(());
    }
    Err(already_exists(next, ConfigObject::DataCentre(name.to_owned())))
}

fn remove_data_centre(next: &mut Configuration, name: &str) -> EditResult {
    match next.data_centres.get(name) {
        Some(found) if found.standing == Standing::In => {
            Err(CommandError::InService(name.to_owned()))
        }
        _ => {
            next.data_centres.remove(name);
            Ok(())
        }
    }
}

fn set_data_centre(
    next: &mut Configuration,
    name: &str,
    standing: Standing,
    confirmed: bool,
) -> EditResult {
    let others = next.data_centres.iter().filter(|(other, _)| *other != name);
    let others_in = others.filter(|(_, other)| other.standing == Standing::In).count();
    let firm = next.firm.clone();
    let found = data_centre(next, name)?;
    let is_last = standing == Standing::Out && found.standing == Standing::In && others_in == 0;
    if is_last && !confirmed {
        return Err(CommandError::LastDataCentre { name: name.to_owned(), firm });
    }
    found.standing = standing;
    Ok(())
}

fn set_instance(
    next: &mut Configuration,
    name: &str,
    instance: &str,
    standing: Standing,
) -> EditResult {
    check_name(instance)?;
    let out = service(next, name)?.out.len();
    if standing == Standing::Out {
        check_room("instances out of service per service", next, out, OUT_LIMIT)?;
    }
    let service = service(next, name)?;
    match standing {
        Standing::Out => service.out.insert(instance.to_owned()),
        Standing::In => service.out.remove(instance),
    };
    Ok(())
}

fn declare_lost(next: &mut Configuration, name: &str, boot: BootId, confirmed: bool) -> EditResult {
    let lost = &service(next, name)?.lost;
    if lost.contains(&boot) {
        return Ok(());
    }
    if !confirmed {
        return Err(CommandError::LossUnconfirmed(boot));
    }
    let lost = lost.len();
    check_room("boot ids declared lost per service", next, lost, LOST_LIMIT)?;
    service(next, name)?.lost.insert(boot);
    Ok(())
}

fn create_route(
    next: &mut Configuration,
    name: &str,
    prefix: &str,
    change: RouteChange,
) -> EditResult {
    check_prefix(prefix)?;
    let route = apply_route_change(Route::default().with_prefix(prefix), change)?;
    let routes = &service(next, name)?.routes;
    let found = routes.iter().find(|found| found.prefix == prefix);
    match found {
        Some(found) if *found == route => Ok(()),
        Some(_) => Err(already_exists(next, route_object(name, prefix))),
        None => {
            let routes = routes.len();
            check_room("rules per service", next, routes, ROUTE_LIMIT)?;
            service(next, name)?.routes.push(route);
            Ok(())
        }
    }
}

fn change_route(
    next: &mut Configuration,
    name: &str,
    prefix: &str,
    change: RouteChange,
) -> EditResult {
    let firm = next.firm.clone();
    let routes = &mut service(next, name)?.routes;
    let Some(route) = routes.iter_mut().find(|route| route.prefix == prefix) else {
        return Err(CommandError::NotFound { object: route_object(name, prefix), firm });
    };
    *route = apply_route_change(route.clone(), change)?;
    Ok(())
}

fn remove_route(next: &mut Configuration, name: &str, prefix: &str, confirmed: bool) -> EditResult {
    let routes = &mut service(next, name)?.routes;
    let is_last = routes.iter().all(|route| route.prefix == prefix) && !routes.is_empty();
    if is_last && !confirmed {
        return Err(CommandError::ServiceUnavailable(name.to_owned()));
    }
    routes.retain(|route| route.prefix != prefix);
    Ok(())
}

fn apply_route_change(mut route: Route, change: RouteChange) -> Result<Route, CommandError> {
    if let Some(key) = change.key {
        route.key = key;
    }
    if let Some(priority) = change.priority {
        route.priority = priority;
    }
    if let Some(timeout) = change.timeout {
        check_timeout(timeout)?;
        route.timeout = timeout;
    }
    Ok(route)
}

fn service<'a>(next: &'a mut Configuration, name: &str) -> Result<&'a mut Service, CommandError> {
    let firm = &next.firm;
    next.services.get_mut(name).ok_or_else(|| CommandError::NotFound {
        object: ConfigObject::Service(name.to_owned()),
        firm: firm.clone(),
    })
}

fn data_centre<'a>(
    next: &'a mut Configuration,
    name: &str,
) -> Result<&'a mut DataCentre, CommandError> {
    let firm = &next.firm;
    next.data_centres.get_mut(name).ok_or_else(|| CommandError::NotFound {
        object: ConfigObject::DataCentre(name.to_owned()),
        firm: firm.clone(),
    })
}

fn route_object(service: &str, prefix: &str) -> ConfigObject {
    ConfigObject::Route { service: service.to_owned(), prefix: prefix.to_owned() }
}

fn already_exists(next: &Configuration, object: ConfigObject) -> CommandError {
    CommandError::Exists { object, firm: next.firm.clone() }
}
