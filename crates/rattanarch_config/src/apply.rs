//! Applies a command to a firm's configuration.

use rattanarch_types::AuditEntry;
use rattanarch_types::Configuration;

use crate::CommandError;
use crate::CommandRequest;
use crate::MAX_TRAIL_ENTRIES;
use crate::edit::edit;

/// Result of a request that was not refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Applied {
    /// The next version, with its audit entry; it takes effect once it is stored.
    Changed(Configuration),
    /// The configuration already is as the command requires.
    AlreadySo,
}

/// Applies `request` to `configuration`.
///
/// Returns [`Applied::AlreadySo`] for a repeated request, recognized by its write id, and for a command that would
/// change nothing.
///
/// # Errors
/// Returns the reason for which the request is refused; see [`CommandError`].
pub fn apply(
    configuration: &Configuration,
    request: &CommandRequest,
) -> Result<Applied, CommandError> {
    check_firm(configuration, request)?;
    if is_repeat(configuration, request) {
        return Ok(Applied::AlreadySo);
    }
    check_version(configuration, request)?;
    let mut next = configuration.clone();
    if let Err(error) = edit(&mut next, &request.command, request.confirmed) {
        // A conflict with another command explains more than the error that it led to.
        check_seen(configuration, request)?;
        return Err(error);
    }
    if next == *configuration {
        return Ok(Applied::AlreadySo);
    }
    check_seen(configuration, request)?;
    if configuration.trail.entries.len() >= MAX_TRAIL_ENTRIES {
        return Err(CommandError::TrailFull(configuration.firm.clone()));
    }
    append_entry(&mut next, request);
    Ok(Applied::Changed(next))
}

fn check_firm(configuration: &Configuration, request: &CommandRequest) -> Result<(), CommandError> {
    let firm = &configuration.firm;
    if request.operator.may_act(firm) {
        return Ok(());
    }
    Err(CommandError::OtherFirm { operator: request.operator.name.clone(), firm: firm.clone() })
}

fn is_repeat(configuration: &Configuration, request: &CommandRequest) -> bool {
    let mut entries = configuration.trail.entries.iter();
    request.write_id != 0 && entries.any(|entry| entry.write_id == request.write_id)
}

fn check_version(
    configuration: &Configuration,
    request: &CommandRequest,
) -> Result<(), CommandError> {
    let found = configuration.version;
    match request.expected {
        Some(expected) if expected != found => {
            Err(CommandError::VersionMismatch { firm: configuration.firm.clone(), expected, found })
        }
        _ => Ok(()),
    }
}

fn check_seen(configuration: &Configuration, request: &CommandRequest) -> Result<(), CommandError> {
    let Some(seen) = request.seen else { return Ok(()) };
    let object = request.command.object();
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

fn append_entry(next: &mut Configuration, request: &CommandRequest) {
    let before = next.version;
    next.version = before + 1;
    next.write_id = request.write_id;
    let entry = AuditEntry {
        serial: next.trail.next_serial(),
        time_ms: request.time_ms,
        operator: request.operator.name.clone(),
        firm: request.operator.firm.clone(),
        command: request.command.to_string(),
        object: request.command.object(),
        before,
        after: next.version,
        write_id: request.write_id,
    };
    next.trail.entries.push(entry);
}
