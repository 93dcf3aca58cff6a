//! Pages that audit entries move into when the configuration's trail grows.

use rattanarch_types::AuditEntry;
use rattanarch_types::Serial;
use serde::Deserialize;
use serde::Serialize;

/// Entries of one page. At 1 KB an entry, the longest, a page stays below 130 KB.
const PAGE_ENTRIES: u64 = 128;
/// Pages of a firm, a ring: page n + 4,096 replaces page n. That bounds a firm to 524,288 entries,
/// 25 days at 21,000 changes a day.
pub const MAX_PAGES: u64 = 4_096;
/// Entries that stay in the trail when it is moved, so that races are told who won.
pub const TRAIL_KEPT_ENTRIES: usize = 16;
/// Length of the trail at which the next writer moves it.
pub const TRAIL_MOVE_THRESHOLD: usize = 32;
/// Length of the trail at which commands are refused, because its pages cannot be written.
pub const MAX_TRAIL_ENTRIES: usize = 256;

/// A page of a firm's audit trail; one object in the platform.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditPage {
    /// Number of the page, which only rises in one place of the ring.
    pub number: u64,
    /// Entries by rising serial; all have this page's number.
    pub entries: Vec<AuditEntry>,
}

/// Number of the page that the entry with this serial belongs to.
pub fn page_number(serial: Serial) -> u64 {
    serial / PAGE_ENTRIES
}

/// Platform path of a page.
pub fn page_path(firm: &str, number: u64) -> String {
    format!("audit/{firm}/{}", number % MAX_PAGES)
}

impl AuditPage {
    /// Adds entries of page `number`; the next content, or `None` if the page needs no write:
    /// it has them all, or a later page has taken its place.
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
