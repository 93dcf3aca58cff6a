//! Data centres that operators have evacuated.

use std::collections::BTreeMap;

use rattanarch_types::DataCentreName;
use rattanarch_types::Moment;
use rattanarch_types::StorePosition;
use serde::Deserialize;
use serde::Serialize;

/// Evacuated data centres, which get no requests, as of one position in the store's history.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Evacuated {
    /// Where the store was in its history at the newest known change of the set.
    #[serde(rename = "revision")]
    pub(crate) position: StorePosition,
    /// Evacuated data centres, and when this process learned of each; the times are not sent to peers.
    #[serde(with = "names")]
    centres: BTreeMap<DataCentreName, Moment>,
}

impl Evacuated {
    /// The data centres `names` at `position`.
    pub(crate) fn new(
        position: StorePosition,
        names: impl IntoIterator<Item = DataCentreName>,
    ) -> Self {
        let centres = names.into_iter().map(|name| (name, Moment::ZERO)).collect();
        Self { position, centres }
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

    /// Whether the same data centres are evacuated in `other`, whatever the positions and times.
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
