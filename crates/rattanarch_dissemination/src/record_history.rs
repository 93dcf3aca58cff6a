//! How a record became what it is.

use std::collections::VecDeque;
use std::rc::Rc;

use rattanarch_types::Record;
use rattanarch_types::RecordChange;
use rattanarch_types::Version;

/// Changes that are kept: what a peer lacks that heard of the record within the last few fetches.
const LONGEST: usize = 32;

/// Latest changes of one record, for peers that know an earlier version of it.
///
/// Each begins at the version that the one before it ends at.
#[derive(Clone, Debug, Default)]
pub struct RecordHistory(VecDeque<Rc<RecordChange>>);

impl RecordHistory {
    /// Notes that `newer` has taken the place of `older`.
    pub fn push_between(&mut self, older: &Record, newer: &Record) {
        match RecordChange::between(older, newer) {
            Some(change) => self.push(change),
            None => self.0.clear(),
        }
    }

    /// Notes the change that made the newest version.
    pub fn push(&mut self, change: RecordChange) {
        if self.0.back().is_some_and(|last| last.to != change.from) {
            self.0.clear();
        }
        self.0.push_back(Rc::new(change));
        if self.0.len() > LONGEST {
            self.0.pop_front();
        }
    }

    /// Changes since `version`, in order; `None` if some are not known any more.
    pub fn since(&self, version: Version) -> Option<Vec<RecordChange>> {
        let first = self.0.iter().position(|change| change.from == version)?;
        Some(self.0.iter().skip(first).map(|change| RecordChange::clone(change)).collect())
    }
}
