//! Data centres that operators have evacuated.

use std::collections::BTreeMap;

use rattanarch_types::DataCentreName;
use rattanarch_types::Moment;
use serde::Deserialize;
use serde::Serialize;

/// Evacuated data centres, which get no requests, as of one revision of the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Evacuated {
    /// The store's revision at the newest known change of the set.
    pub(crate) revision: u64,
    /// Evacuated data centres, and when this process learned of each; the times are not sent to peers.
    #[serde(with = "names")]
    centres: BTreeMap<DataCentreName, Moment>,
}

impl Evacuated {
    /// The data centres `names` at `revision`.
    pub(crate) fn new(revision: u64, names: impl IntoIterator<Item = DataCentreName>) -> Self {
        let centres = names.into_iter().map(|name| (name, Moment::ZERO)).collect();
        Self { revision, centres }
    }

    /// When this process learned that `centre` is evacuated; `None` if it is not.
    pub(crate) fn since(&self, centre: &str) -> Option<Moment> {
        self.centres.get(centre).copied()
    }

    /// Whether `centre` is evacuated.
    pub(crate) fn contains(&self, centre: &str) -> bool {
        self.centres.contains_key(centre)
    }

    /// Names of the evacuated data centres.
    pub(crate) fn names(&self) -> impl Iterator<Item = &DataCentreName> {
        self.centres.keys()
    }

    /// Whether the same data centres are evacuated in `other`, whatever the revisions and times.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        self.names().eq(other.names())
    }

    /// Sets the times: those of `old` for its data centres, and `now` for new ones.
    pub(crate) fn with_times_from(mut self, now: Moment, old: &Self) -> Self {
        for (name, since) in &mut self.centres {
            *since = old.since(name).unwrap_or(now);
        }
        self
    }
}

/// Serializes only the names: times of different processes are never compared.
mod names {
    use super::BTreeMap;
    use super::DataCentreName;
    use super::Deserialize;
    use super::Moment;
    use super::Serialize;

    pub(super) fn serialize<S: serde::Serializer>(
        centres: &BTreeMap<DataCentreName, Moment>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        centres.keys().collect::<Vec<_>>().serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: serde::Deserializer<'de>>(
        deserializer: D,
    ) -> Result<BTreeMap<DataCentreName, Moment>, D::Error> {
        let names = Vec::<DataCentreName>::deserialize(deserializer)?;
        Ok(names.into_iter().map(|name| (name, Moment::ZERO)).collect())
    }
}
