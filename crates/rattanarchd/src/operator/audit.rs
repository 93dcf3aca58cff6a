//! Audit pages in the platform.

use rattanarch_config::AuditPage;
use rattanarch_config::TRAIL_KEPT_ENTRIES;
use rattanarch_config::TRAIL_MOVE_THRESHOLD;
use rattanarch_config::page_number;
use rattanarch_config::page_path;
use rattanarch_platform::Object;
use rattanarch_platform::Platform;
use rattanarch_platform::PlatformError;
use rattanarch_platform::PutOutcome;
use rattanarch_types::AuditEntry;
use rattanarch_types::Configuration;
use rattanarch_types::Serial;
use rattanarch_types::WriteId;
use serde_json::json;

use crate::operator::firms::ReadError;
use crate::operator::firms::decode;

/// Attempts to store a page that others write too, or whose answer is lost.
const PAGE_WRITES: usize = 6;

/// Moves old entries of a long trail into pages, before `next` is stored without them.
///
/// `next` is left as it is when a page cannot be stored: the next writer tries again. The newest
/// entry, which is not accepted yet, always stays.
pub(crate) fn make_room(platform: &Platform, next: &mut Configuration) {
    let length = next.trail.entries.len();
    if length <= TRAIL_MOVE_THRESHOLD {
        return;
    }
    let moved = length - TRAIL_KEPT_ENTRIES;
    let entries = &next.trail.entries[..moved];
    let stored = entries
        .chunk_by(|a, b| page_number(a.serial) == page_number(b.serial))
        .try_for_each(|chunk| store(platform, &next.firm, chunk));
    match stored {
        Ok(()) => {
            next.trail.entries.drain(..moved);
            next.trail.start += moved as Serial;
        }
        Err(error) => log::warn!(firm = next.firm.as_str(); "audit entries not moved: {error}"),
    }
}

fn store(platform: &Platform, firm: &str, entries: &[AuditEntry]) -> Result<(), ReadError> {
    let Some(first) = entries.first() else { return Ok(()) };
    let number = page_number(first.serial);
    let path = page_path(firm, number);
    let mut object = platform.get(&path)?;
    let mut fault = None;
    for _ in 0..PAGE_WRITES {
        let version = object.version;
        let Some(next) = read_page(&path, object)?.with_entries(number, entries) else {
            return Ok(());
        };
        object = match platform.put(&path, version, &json!(next)) {
            Ok(PutOutcome::Accepted(_)) => return Ok(()),
            Ok(PutOutcome::Conflict(object)) => object,
            Err(error @ PlatformError::OutcomeUnknown { .. }) => {
                fault = Some(error);
                platform.get(&path)?
            }
            Err(error) => return Err(error.into()),
        };
    }
    let reason = "the page keeps changing".to_owned();
    Err(fault.map_or(ReadError::Malformed { path, reason }, ReadError::from))
}

fn read_page(path: &str, object: Object) -> Result<AuditPage, ReadError> {
    if object.version == 0 {
        return Ok(AuditPage::default());
    }
    decode(path, object)
}

/// Entries of page `number`; empty when a later page has taken its place.
pub(crate) fn load_page(
    platform: &Platform,
    firm: &str,
    number: u64,
) -> Result<Vec<AuditEntry>, ReadError> {
    let path = page_path(firm, number);
    let page = read_page(&path, platform.get(&path)?)?;
    Ok(if page.number == number { page.entries } else { Vec::new() })
}

/// The entry with this write id, in the trail or in the newest page before it.
pub(crate) fn find_write(
    platform: &Platform,
    configuration: &Configuration,
    write_id: WriteId,
) -> Result<Option<AuditEntry>, ReadError> {
    let is_it = |entry: &&AuditEntry| entry.write_id == write_id;
    let trail = &configuration.trail;
    if let Some(entry) = trail.entries.iter().find(is_it) {
        return Ok(Some(entry.clone()));
    }
    let Some(newest) = trail.start.checked_sub(1) else { return Ok(None) };
    let newest = page_number(newest);
    for number in newest.saturating_sub(1)..=newest {
        let entries = load_page(platform, &configuration.firm, number)?;
        if let Some(entry) = entries.iter().find(is_it) {
            return Ok(Some(entry.clone()));
        }
    }
    Ok(None)
}
