//! How the configuration became what it is.

use std::collections::VecDeque;
use std::rc::Rc;

use rattanarch_types::Version;
use rattanarch_types::hash_key;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::ValueChange;

/// Changes that are kept: two storms of ten versions, in which a peer catches up within a few.
const MOST_CHANGES: usize = 20;

/// Bytes of changes that are kept, as they are sent: two of the largest known.
const MOST_BYTES: usize = 512 << 10;

/// A version of the configuration. Two that differ under one number have different hashes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionHash {
    /// Its number; 0 if none is known.
    pub version: Version,
    /// Hash of its text; 0 if none is known, or none is to be changed.
    pub hash: u64,
}

impl VersionHash {
    /// That of the configuration `spec`, whose number is `version`.
    pub fn new(version: Version, spec: &Value) -> Self {
        Self::from_text(version, &spec.to_string())
    }

    /// That of the configuration that is written as `text`.
    pub fn from_text(version: Version, text: &str) -> Self {
        Self { version, hash: hash_key(text).max(1) }
    }
}

/// What a version of the configuration changes in an earlier one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigurationChange {
    /// Version that is changed.
    pub from: VersionHash,
    /// Version that it becomes.
    pub to: VersionHash,
    change: ValueChange,
}

impl ConfigurationChange {
    /// How `older` becomes `newer`; `None` if that is no later version.
    pub fn between(older: (VersionHash, &Value), newer: (VersionHash, &Value)) -> Option<Self> {
        if older.0.version == 0 || older.0.version >= newer.0.version {
            return None;
        }
        let change = ValueChange::between(older.1, newer.1)?;
        Some(Self { from: older.0, to: newer.0, change })
    }

    /// What `older`, the version `base`, becomes; `None` if the change was not made from it, or makes something else
    /// of it than it says.
    pub fn apply(&self, base: VersionHash, older: &Value) -> Option<Value> {
        if self.from != base || self.to.version <= base.version {
            return None;
        }
        let newer = self.change.apply(older)?;
        (VersionHash::new(self.to.version, &newer) == self.to).then_some(newer)
    }

    /// Bytes that it takes to send.
    fn size(&self) -> usize {
        serde_json::to_vec(self).map_or(usize::MAX, |text| text.len())
    }
}

/// What `changes`, one after the other, make of `older`, the version `base`; `None` if one does not fit.
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

/// Latest changes of the configuration, for peers that know an earlier version of it.
///
/// Each begins at the version that the one before it ends at.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationHistory {
    /// Changes and the bytes that each takes to send.
    changes: VecDeque<(Rc<ConfigurationChange>, usize)>,
}

impl ConfigurationHistory {
    /// Notes the change that made the newest version; `None` if it is not known how that came to be.
    pub fn push(&mut self, change: Option<ConfigurationChange>) {
        let Some(change) = change else { return self.changes.clear() };
        if self.changes.back().is_some_and(|(last, _)| last.to != change.from) {
            self.changes.clear();
        }
        let size = change.size();
        self.changes.push_back((Rc::new(change), size));
        while self.changes.len() > MOST_CHANGES || self.bytes(0) > MOST_BYTES {
            self.changes.pop_front();
        }
    }

    /// Changes since `base`, in order; `None` if some are not known any more, or if together they take `whole` bytes
    /// or more to send.
    pub fn since(&self, base: VersionHash, whole: usize) -> Option<Vec<ConfigurationChange>> {
        let first = self.first(base).filter(|first| self.bytes(*first) < whole)?;
        let changes = self.changes.iter().skip(first);
        Some(changes.map(|(change, _)| ConfigurationChange::clone(change)).collect())
    }

    /// Bytes that it takes to tell a peer that knows `base`, if the whole takes `whole`.
    pub fn size_since(&self, base: VersionHash, whole: usize) -> usize {
        self.first(base).map_or(whole, |first| self.bytes(first).min(whole))
    }

    fn first(&self, base: VersionHash) -> Option<usize> {
        self.changes.iter().position(|(change, _)| change.from == base)
    }

    /// Bytes of the changes from the one at `first` on.
    fn bytes(&self, first: usize) -> usize {
        let sizes = self.changes.iter().skip(first).map(|(_, size)| *size);
        sizes.fold(0, usize::saturating_add)
    }
}
