//! Reads and writes the audit pages that the platform stores.

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

use crate::operator::object_reader::ReadError;
use crate::operator::object_reader::decode;

/// Most attempts to store a page, when others write it at the same time or responses are lost.
const MAX_PAGE_ATTEMPTS: usize = 6;

/// Moves old entries of a long trail to pages, before `next` is stored without them.
///
/// If a page cannot be stored, `next` stays unchanged, and the next writer tries again. The newest entry, which is not
/// accepted yet, always stays in the trail.
pub(crate) fn move_old_entries(platform: &Platform, next: &mut Configuration) {
    let length = next.trail.entries.len();
    if length <= TRAIL_MOVE_THRESHOLD {
        return;
    }
    let move_count = length - TRAIL_KEPT_ENTRIES;
    let entries = &next.trail.entries[..move_count];
    let stored = entries
        .chunk_by(|a, b| page_number(a.serial) == page_number(b.serial))
        .try_for_each(|chunk| store_entries(platform, &next.firm, chunk));
    match stored {
        Ok(()) => {
            next.trail.entries.drain(..move_count);
            next.trail.start += move_count as Serial;
        }
        Err(error) => log::warn!(firm = next.firm.as_str(); "audit entries not moved: {error}"),
    }
}

/// Adds `entries`, all of one page, to that page.
fn store_entries(platform: &Platform, firm: &str, entries: &[AuditEntry]) -> Result<(), ReadError> {
    let Some(first) = entries.first() else { return Ok(()) };
    let number = page_number(first.serial);
    let path = page_path(firm, number);
    let mut object = platform.get(&path)?;
    let mut last_error = None;
    for _ in 0..MAX_PAGE_ATTEMPTS {
        let version = object.version;
        let Some(next) = read_page(&path, object)?.with_entries(number, entries) else {
            return Ok(());
        };
        object = match platform.put(&path, version, &json!(next)) {
            Ok(PutOutcome::Accepted(_)) => return Ok(()),
            Ok(PutOutcome::Conflict(object)) => object,
            Err(error @ PlatformError::OutcomeUnknown { .. }) => {
                last_error = Some(error);
                platform.get(&path)?
            }
            Err(error) => return Err(error.into()),
        };
    }
    let reason = "the page keeps changing".to_owned();
    Err(last_error.map_or(ReadError::Malformed { path, reason }, ReadError::from))
}

fn read_page(path: &str, object: Object) -> Result<AuditPage, ReadError> {
    if object.version == 0 {
        return Ok(AuditPage::default());
    }
    decode(path, object)
}

/// Reads the entries of page `number`; none if a later page has replaced it.
pub(crate) fn load_page(
    platform: &Platform,
    firm: &str,
    number: u64,
) -> Result<Vec<AuditEntry>, ReadError> {
    let path = page_path(firm, number);
    let page = read_page(&path, platform.get(&path)?)?;
    Ok(if page.number == number { page.entries } else { Vec::new() })
}

/// Finds the entry with this write id in the trail or in the two newest pages before it.
pub(crate) fn find_write(
    platform: &Platform,
    configuration: &Configuration,
    write_id: WriteId,
) -> Result<Option<AuditEntry>, ReadError> {
    let has_id = |entry: &&AuditEntry| entry.write_id == write_id;
    let trail = &configuration.trail;
    if let Some(entry) = trail.entries.iter().find(has_id) {
        return Ok(Some(entry.clone()));
    }
    let Some(last_moved) = trail.start.checked_sub(1) else { return Ok(None) };
    let newest_page = page_number(last_moved);
    for number in newest_page.saturating_sub(1)..=newest_page {
        let entries = load_page(platform, &configuration.firm, number)?;
        if let Some(entry) = entries.iter().find(has_id) {
            return Ok(Some(entry.clone()));
        }
    }
    Ok(None)
}
