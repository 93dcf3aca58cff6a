//! Limits on the contents of a configuration.

use std::time::Duration;

use rattanarch_types::Configuration;
use rattanarch_types::Sharing;

use crate::CommandError;

/// Maximum number of services of a firm. With the limits below, any configuration that matches the size of its fleet
/// stays far below the platform's limit of 1 MiB; the daemon checks the size separately.
pub(crate) const SERVICE_LIMIT: usize = 256;
/// Maximum number of data centres of a firm.
pub(crate) const DATA_CENTRE_LIMIT: usize = 256;
/// Maximum number of routing rules of a service.
pub(crate) const ROUTE_LIMIT: usize = 64;
/// Maximum number of instances of a service that are out of service.
pub(crate) const OUT_LIMIT: usize = 1_024;
/// Maximum number of boot ids of a service that are declared lost.
pub(crate) const LOST_LIMIT: usize = 1_024;
/// Maximum length of a name, in bytes; the same as in the daemon's settings.
const NAME_LIMIT: usize = 63;
/// Maximum length of a path prefix, in bytes.
const PREFIX_LIMIT: usize = 256;
/// Maximum timeout of a rule.
const TIMEOUT_LIMIT: Duration = Duration::from_secs(3_600);
/// Maximum number of slices of a service.
const SLICE_LIMIT: u16 = 4_096;

pub(crate) fn check_room(
    what: &'static str,
    next: &Configuration,
    count: usize,
    limit: usize,
) -> Result<(), CommandError> {
    if count < limit {
        return Ok(());
    }
    Err(CommandError::LimitReached { what, firm: next.firm.clone(), limit })
}

pub(crate) fn check_name(name: &str) -> Result<(), CommandError> {
    let is_good = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    let starts = name.starts_with(|c: char| c.is_ascii_lowercase());
    if starts && name.len() <= NAME_LIMIT && name.chars().all(is_good) {
        return Ok(());
    }
    Err(CommandError::InvalidName(name.to_owned()))
}

pub(crate) fn check_prefix(prefix: &str) -> Result<(), CommandError> {
    let is_good = |c: char| c.is_ascii_graphic();
    let fits = prefix.starts_with('/') && prefix.len() <= PREFIX_LIMIT;
    if fits && prefix.chars().all(is_good) {
        return Ok(());
    }
    Err(CommandError::InvalidPrefix(prefix.to_owned()))
}

pub(crate) fn check_slices(service: &str, sharing: Sharing) -> Result<(), CommandError> {
    match sharing {
        Sharing::Keyed(slices) if !(1..=SLICE_LIMIT).contains(&slices) => {
            Err(CommandError::InvalidSlices { service: service.to_owned(), slices })
        }
        _ => Ok(()),
    }
}

pub(crate) fn check_timeout(timeout: Duration) -> Result<(), CommandError> {
    if (Duration::from_millis(1)..=TIMEOUT_LIMIT).contains(&timeout) {
        return Ok(());
    }
    Err(CommandError::InvalidTimeout)
}
