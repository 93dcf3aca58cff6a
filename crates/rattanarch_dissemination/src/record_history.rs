//! Recent changes of a record, sent to peers in place of the whole.

use std::collections::VecDeque;
use std::rc::Rc;

use rattanarch_types::Record;
use rattanarch_types::RecordChange;
use rattanarch_types::Version;

/// Number of changes kept: enough for a peer that fetched the record within its last few fetches.
const MAX_CHANGES: usize = 32;

/// Latest changes of one record, for peers that have an earlier version.
///
/// The changes form a chain: each starts from the version that the one before it results in.
#[derive(Clone, Debug, Default)]
pub struct RecordHistory(VecDeque<Rc<RecordChange>>);

impl RecordHistory {
    /// Appends the change from `older` to `newer`; clears the history if no change can describe it.
    pub fn push_between(&mut self, older: &Record, newer: &Record) {
        match RecordChange::between(older, newer) {
            Some(change) => self.push(change),
            None => self.0.clear(),
        }
    }

    /// Appends the change that led to the newest version; drops the earlier ones if it does not follow on them.
    pub fn push(&mut self, change: RecordChange) {
        if self.0.back().is_some_and(|last| last.to != change.from) {
            self.0.clear();
        }
        self.0.push_back(Rc::new(change));
        if self.0.len() > MAX_CHANGES {
            self.0.pop_front();
        }
    }

    /// Changes since `version`, in order; `None` if some are no longer kept.
    pub fn since(&self, version: Version) -> Option<Vec<RecordChange>> {
        let first = self.0.iter().position(|change| change.from == version)?;
        Some(self.0.iter().skip(first).map(|change| RecordChange::clone(change)).collect())
    }
}
