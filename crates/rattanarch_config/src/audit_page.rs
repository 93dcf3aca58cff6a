//! Pages into which audit entries move when the trail in the configuration grows.

use rattanarch_types::AuditEntry;
use rattanarch_types::Serial;
use serde::Deserialize;
use serde::Serialize;

/// Number of entries of one page. Entries have at most 1 KB, so a page stays below 130 KB.
const PAGE_ENTRIES: u64 = 128;
/// Number of pages of a firm, which form a ring: page n + 4,096 replaces page n. A firm thus keeps 524,288 entries,
/// which is 25 days at 21,000 changes a day.
pub const MAX_PAGES: u64 = 4_096;
/// Number of entries that stay in the trail when the others move, so that conflicting commands can be told of the
/// change that came first.
pub const TRAIL_KEPT_ENTRIES: usize = 16;
/// Length of the trail above which the next writer moves entries into pages.
pub const TRAIL_MOVE_THRESHOLD: usize = 32;
/// Length of the trail at which commands are refused; reached only if the pages cannot be written.
pub const MAX_TRAIL_ENTRIES: usize = 256;

/// A page of a firm's audit trail, stored as one object of the platform.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditPage {
    /// Number of the page; within one position of the ring it only increases.
    pub number: u64,
    /// Entries of this page, in ascending order of their serials.
    pub entries: Vec<AuditEntry>,
}

/// Number of the page of the entry with this serial.
pub fn page_number(serial: Serial) -> u64 {
    serial / PAGE_ENTRIES
}

/// Path of a page's object in the platform.
pub fn page_path(firm: &str, number: u64) -> String {
    format!("audit/{firm}/{}", number % MAX_PAGES)
}

impl AuditPage {
    /// Adds entries of page `number` and returns the new content; `None` if nothing is to be written, because the page
    /// has all of them or a later page has replaced it.
    pub fn with_entries(&self, number: u64, entries: &[AuditEntry]) -> Option<Self> {
        if number < self.number {
            return None;
        }
        let mut next = if number == self.number { self.clone() } else { Self::default() };
        next.number = number;
        for entry in entries {
            if next.entries.iter().all(|known| known.serial != entry.serial) {
                next.entries.push(entry.clone());
            }
        }
        next.entries.sort_by_key(|entry| entry.serial);
        (next != *self).then_some(next)
    }
}
