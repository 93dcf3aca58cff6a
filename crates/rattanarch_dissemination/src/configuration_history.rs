//! Recent changes of the configuration, sent to peers in place of the whole.

use std::collections::VecDeque;
use std::rc::Rc;

use rattanarch_types::Version;
use rattanarch_types::hash_key;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::ValueChange;

/// Number of changes kept: two bursts of ten versions each; a peer catches up within a few versions.
const MAX_CHANGES: usize = 20;

/// Total size of the changes kept, as serialized: two of the largest known size.
const MAX_BYTES: usize = 512 << 10;

/// A configuration version with the hash of its text, which tells apart different contents under the same number.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionHash {
    /// Version number; 0 if none is known.
    pub version: Version,
    /// Hash of the serialized text; 0 if none is known, or if the peer shall send the whole configuration.
    pub hash: u64,
}

impl VersionHash {
    /// Hashes the configuration `spec` with the number `version`.
    pub fn new(version: Version, spec: &Value) -> Self {
        Self::from_text(version, &spec.to_string())
    }

    /// Hashes the serialized configuration `text`. The hash is never 0, which means "unknown".
    pub fn from_text(version: Version, text: &str) -> Self {
        Self { version, hash: hash_key(text).max(1) }
    }
}

/// Difference between two versions of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigurationChange {
    /// Version that the change applies to.
    pub from: VersionHash,
    /// Version that results.
    pub to: VersionHash,
    change: ValueChange,
}

impl ConfigurationChange {
    /// The change from `older` to `newer`; `None` if `older` is unknown (version 0), the contents are equal, or
    /// `newer` is not a later version.
    pub fn between(older: (VersionHash, &Value), newer: (VersionHash, &Value)) -> Option<Self> {
        if older.0.version == 0 || older.0.version >= newer.0.version {
            return None;
        }
        let change = ValueChange::between(older.1, newer.1)?;
        Some(Self { from: older.0, to: newer.0, change })
    }

    /// Applies the change to `older`, which has the version `base`. Returns `None` if the change starts from another
    /// version, or the hash of the result differs from [`Self::to`].
    pub fn apply(&self, base: VersionHash, older: &Value) -> Option<Value> {
        if self.from != base || self.to.version <= base.version {
            return None;
        }
        let newer = self.change.apply(older)?;
        (VersionHash::new(self.to.version, &newer) == self.to).then_some(newer)
    }

    /// Size in bytes as serialized.
    fn size(&self) -> usize {
        serde_json::to_vec(self).map_or(usize::MAX, |json| json.len())
    }
}

/// Applies `changes` in order to `older`, which has the version `base`; `None` if there are none or one does not apply.
pub fn apply_all(
    changes: &[ConfigurationChange],
    base: VersionHash,
    older: &Value,
) -> Option<(VersionHash, Value)> {
    let (first, rest) = changes.split_first()?;
    let newer = (first.to, first.apply(base, older)?);
    rest.iter()
        .try_fold(newer, |(base, spec), change| Some((change.to, change.apply(base, &spec)?)))
}

/// Latest changes of the configuration, for peers that have an earlier version.
///
/// The changes form a chain: each starts from the version that the one before it results in.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationHistory {
    /// Changes with the serialized size of each, in bytes.
    changes: VecDeque<(Rc<ConfigurationChange>, usize)>,
}

impl ConfigurationHistory {
    /// Appends the change that led to the newest version; `None` if it is unknown, which clears the history.
    pub fn push(&mut self, change: Option<ConfigurationChange>) {
        let Some(change) = change else { return self.changes.clear() };
        if self.changes.back().is_some_and(|(last, _)| last.to != change.from) {
            self.changes.clear();
        }
        let size = change.size();
        self.changes.push_back((Rc::new(change), size));
        while self.changes.len() > MAX_CHANGES || self.size_from(0) > MAX_BYTES {
            self.changes.pop_front();
        }
    }

    /// Changes since `base`, in order; `None` if some are no longer kept, or if together they take at least
    /// `whole_size` bytes, the size of the whole configuration.
    pub fn since(&self, base: VersionHash, whole_size: usize) -> Option<Vec<ConfigurationChange>> {
        let first = self.first_index(base).filter(|first| self.size_from(*first) < whole_size)?;
        let changes = self.changes.iter().skip(first);
        Some(changes.map(|(change, _)| ConfigurationChange::clone(change)).collect())
    }

    /// Size in bytes of the update for a peer that has `base`, if the whole configuration takes `whole_size`.
    pub fn size_since(&self, base: VersionHash, whole_size: usize) -> usize {
        self.first_index(base).map_or(whole_size, |first| self.size_from(first).min(whole_size))
    }

    fn first_index(&self, base: VersionHash) -> Option<usize> {
        self.changes.iter().position(|(change, _)| change.from == base)
    }

    /// Total size of the changes from index `first` on, in bytes.
    fn size_from(&self, first: usize) -> usize {
        let sizes = self.changes.iter().skip(first).map(|(_, size)| *size);
        sizes.fold(0, usize::saturating_add)
    }
}
