//! What a configuration may hold.

use std::time::Duration;

use rattanarch_types::Configuration;
use rattanarch_types::Sharing;

use crate::CommandError;

/// Most services of a firm. With the limits below, a configuration stays far below the platform's
/// 1 MiB in any use that fits its fleet; the daemon checks the size itself.
pub(crate) const SERVICE_LIMIT: usize = 256;
/// Most data centres of a firm.
pub(crate) const DATA_CENTRE_LIMIT: usize = 256;
/// Most routing rules of a service.
pub(crate) const ROUTE_LIMIT: usize = 64;
/// Most instances of a service that are out.
pub(crate) const OUT_LIMIT: usize = 1_024;
/// Most lives of a service that are declared lost.
pub(crate) const LOST_LIMIT: usize = 1_024;
/// Longest name, in bytes; as in the daemon's settings.
const NAME_LIMIT: usize = 63;
/// Longest path prefix, in bytes.
const PREFIX_LIMIT: usize = 256;
/// Longest timeout of a rule.
const TIMEOUT_LIMIT: Duration = Duration::from_secs(3_600);
/// Most slices of a service.
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
