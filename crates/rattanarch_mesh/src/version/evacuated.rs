//! Data centres that operators have taken out.

use std::collections::BTreeMap;

use rattanarch_types::DataCentreName;
use rattanarch_types::Moment;
use serde::Deserialize;
use serde::Serialize;

/// Data centres that are to get nothing, as of one revision of the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Evacuated {
    /// The store's revision at the newest change that is known.
    pub(crate) revision: u64,
    /// Names, and since when this process has known each; the time is not passed on.
    #[serde(with = "names")]
    centres: BTreeMap<DataCentreName, Moment>,
}

impl Evacuated {
    /// The data centres `names` at `revision`.
    pub(crate) fn new(revision: u64, names: impl IntoIterator<Item = DataCentreName>) -> Self {
        let centres = names.into_iter().map(|name| (name, Moment::ZERO)).collect();
        Self { revision, centres }
    }

    /// Since when `centre` is known to be out; `None` if it is in.
    pub(crate) fn since(&self, centre: &str) -> Option<Moment> {
        self.centres.get(centre).copied()
    }

    /// Whether `centre` is out.
    pub(crate) fn contains(&self, centre: &str) -> bool {
        self.centres.contains_key(centre)
    }

    /// Names of the data centres that are out.
    pub(crate) fn names(&self) -> impl Iterator<Item = &DataCentreName> {
        self.centres.keys()
    }

    /// Whether the same data centres are out.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        self.names().eq(other.names())
    }

    /// Keeps the times of what `old` knew already; what is new counts from `now`.
    pub(crate) fn with_times_from(mut self, now: Moment, old: &Self) -> Self {
        for (name, since) in &mut self.centres {
            *since = old.since(name).unwrap_or(now);
        }
        self
    }
}

/// Only the names travel: times of different processes are never compared.
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
