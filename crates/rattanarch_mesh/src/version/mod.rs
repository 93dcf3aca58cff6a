//! Shared state as this daemon knows it: configuration, evacuated data centres and ownership records, by version.

mod evacuated;
mod knowledge;
mod snapshot;

pub(crate) use evacuated::Evacuated;
pub(crate) use knowledge::ChangeOutcome;
pub(crate) use knowledge::Knowledge;
pub(crate) use snapshot::Snapshot;
pub(crate) use snapshot::Versions;
