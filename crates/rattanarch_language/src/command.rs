//! Parsers of commands.

use rattanarch_config::Command;
use rattanarch_config::RouteChange;
use rattanarch_types::KeySource;
use rattanarch_types::Priority;
use rattanarch_types::Sharing;
use rattanarch_types::Standing;
use winnow::Parser;
use winnow::combinator::alt;
use winnow::combinator::opt;
use winnow::combinator::preceded;

use crate::input::Input;
use crate::input::Parsed;
use crate::input::keyword;
use crate::input::value;
use crate::value::boot_id;
use crate::value::data_centre;
use crate::value::duration;
use crate::value::name;
use crate::value::service_clause;

/// Parses any command.
pub(crate) fn command(input: &mut Input<'_>) -> Parsed<Command> {
    alt((
        preceded(keyword("create"), create),
        preceded(keyword("change"), change),
        preceded(keyword("remove"), remove),
        standing,
        preceded((keyword("declare"), keyword("lost")), declare_lost),
    ))
    .parse_next(input)
}

fn create(input: &mut Input<'_>) -> Parsed<Command> {
    let service = (keyword("service"), name("a service"), sharing, route_change)
        .map(|((), service, sharing, route)| Command::CreateService { service, sharing, route });
    let centre = (data_centre, name("a data centre"), region)
        .map(|((), name, region)| Command::CreateDataCentre { name, region });
    let route = (keyword("route"), name("a path prefix"), service_clause, route_change)
        .map(|((), prefix, service, route)| Command::CreateRoute { service, prefix, route });
    alt((service, centre, route)).parse_next(input)
}

fn change(input: &mut Input<'_>) -> Parsed<Command> {
    let service = (keyword("service"), name("a service"), route_change)
        .map(|((), service, route)| Command::ChangeService { service, route });
    let centre = (data_centre, name("a data centre"), region)
        .map(|((), name, region)| Command::ChangeDataCentre { name, region });
    let route = (keyword("route"), name("a path prefix"), service_clause, route_change)
        .map(|((), prefix, service, route)| Command::ChangeRoute { service, prefix, route });
    alt((service, centre, route)).parse_next(input)
}

fn remove(input: &mut Input<'_>) -> Parsed<Command> {
    let service = preceded(keyword("service"), name("a service"))
        .map(|service| Command::RemoveService { service });
    let centre =
        preceded(data_centre, name("a data centre")).map(|name| Command::RemoveDataCentre { name });
    let route = (keyword("route"), name("a path prefix"), service_clause)
        .map(|((), prefix, service)| Command::RemoveRoute { service, prefix });
    alt((service, centre, route)).parse_next(input)
}

fn standing(input: &mut Input<'_>) -> Parsed<Command> {
    let out = alt(((keyword("take"), keyword("out")).void(), keyword("drain")));
    let back = (keyword("bring"), keyword("back")).void();
    let standing = alt((out.value(Standing::Out), back.value(Standing::In))).parse_next(input)?;
    let centre = preceded(data_centre, name("a data centre"))
        .map(|name| Command::SetDataCentre { name, standing });
    let instance = (keyword("upstream"), name("an instance"), service_clause)
        .map(|((), instance, service)| Command::SetInstance { service, instance, standing });
    alt((centre, instance)).parse_next(input)
}

fn declare_lost(input: &mut Input<'_>) -> Parsed<Command> {
    let parts = (boot_id, service_clause);
    parts.map(|(boot, service)| Command::DeclareLost { service, boot }).parse_next(input)
}

fn region(input: &mut Input<'_>) -> Parsed<String> {
    preceded(keyword("region"), name("a region")).parse_next(input)
}

fn sharing(input: &mut Input<'_>) -> Parsed<Sharing> {
    let slices = value("a number of slices", |text| text.parse().ok());
    let keyed = preceded(keyword("keyed"), slices).map(Sharing::Keyed);
    alt((keyed, keyword("unkeyed").value(Sharing::Unkeyed))).parse_next(input)
}

fn route_change(input: &mut Input<'_>) -> Parsed<RouteChange> {
    let key = opt(preceded(keyword("key"), key_source)).parse_next(input)?;
    let priority = opt(preceded(keyword("priority"), priority)).parse_next(input)?;
    let timeout = opt(preceded(keyword("timeout"), duration)).parse_next(input)?;
    Ok(RouteChange { key, priority, timeout })
}

fn key_source(input: &mut Input<'_>) -> Parsed<KeySource> {
    let segment = value("a segment from 0 to 255", |text| text.parse().ok());
    let segment = preceded(keyword("segment"), segment).map(KeySource::Segment);
    alt((keyword("header").value(KeySource::Header), segment)).parse_next(input)
}

fn priority(input: &mut Input<'_>) -> Parsed<Priority> {
    alt((
        keyword("deferrable").value(Priority::Deferrable),
        keyword("normal").value(Priority::Normal),
        keyword("urgent").value(Priority::Urgent),
    ))
    .parse_next(input)
}
