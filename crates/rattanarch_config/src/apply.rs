//! One step of a firm's configuration.

use rattanarch_types::AuditEntry;
use rattanarch_types::Configuration;

use crate::CommandError;
use crate::CommandRequest;
use crate::MAX_TRAIL_ENTRIES;
use crate::edit::edit;

/// What became of an order that was not refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Applied {
    /// The next version, with its audit entry; it counts once it is stored.
    Changed(Configuration),
    /// The configuration already is as the command wants it.
    AlreadySo,
}

/// Applies `order` to `configuration`.
///
/// A repeated order, known by its write id, and a command whose outcome already holds are both
/// [`Applied::AlreadySo`].
///
/// # Errors
/// Why the order is refused; see [`CommandError`].
pub fn apply(
    configuration: &Configuration,
    order: &CommandRequest,
) -> Result<Applied, CommandError> {
    check_firm(configuration, order)?;
    if is_repeat(configuration, order) {
        return Ok(Applied::AlreadySo);
    }
    check_version(configuration, order)?;
    let mut next = configuration.clone();
    if let Err(error) = edit(&mut next, &order.command, order.confirmed) {
        // A lost race says more than what it made impossible.
        check_seen(configuration, order)?;
        return Err(error);
    }
    if next == *configuration {
        return Ok(Applied::AlreadySo);
    }
    check_seen(configuration, order)?;
    if configuration.trail.entries.len() >= MAX_TRAIL_ENTRIES {
        return Err(CommandError::TrailFull(configuration.firm.clone()));
    }
    record(&mut next, order);
    Ok(Applied::Changed(next))
}

fn check_firm(configuration: &Configuration, order: &CommandRequest) -> Result<(), CommandError> {
    let firm = &configuration.firm;
    if order.operator.may_act(firm) {
        return Ok(());
    }
    Err(CommandError::OtherFirm { operator: order.operator.name.clone(), firm: firm.clone() })
}

fn is_repeat(configuration: &Configuration, order: &CommandRequest) -> bool {
    let mut entries = configuration.trail.entries.iter();
    order.write_id != 0 && entries.any(|entry| entry.write_id == order.write_id)
}

fn check_version(
    configuration: &Configuration,
    order: &CommandRequest,
) -> Result<(), CommandError> {
    let found = configuration.version;
    match order.expected {
        Some(expected) if expected != found => {
            Err(CommandError::VersionMismatch { firm: configuration.firm.clone(), expected, found })
        }
        _ => Ok(()),
    }
}

fn check_seen(configuration: &Configuration, order: &CommandRequest) -> Result<(), CommandError> {
    let Some(seen) = order.seen else { return Ok(()) };
    let object = order.command.object();
    let entries = &configuration.trail.entries;
    let mut later = entries.iter().filter(|entry| entry.after > seen);
    if let Some(entry) = later.rfind(|entry| entry.object.overlaps(&object)) {
        return Err(CommandError::Conflict(Box::new(entry.clone())));
    }
    let oldest = entries.first().map_or(configuration.version, |entry| entry.before);
    if seen < oldest {
        return Err(CommandError::SeenTooOld { object, seen });
    }
    Ok(())
}

fn record(next: &mut Configuration, order: &CommandRequest) {
    let before = next.version;
    next.version = before + 1;
    next.write_id = order.write_id;
    let entry = AuditEntry {
        serial: next.trail.next_serial(),
        time_ms: order.time_ms,
        operator: order.operator.name.clone(),
        firm: order.operator.firm.clone(),
        command: order.command.to_string(),
        object: order.command.object(),
        before,
        after: next.version,
        write_id: order.write_id,
    };
    next.trail.entries.push(entry);
}
