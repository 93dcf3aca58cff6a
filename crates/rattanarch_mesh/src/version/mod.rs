//! What lives as long as one version of the shared state.

mod evacuated;
mod knowledge;
mod snapshot;

pub(crate) use evacuated::Evacuated;
pub(crate) use knowledge::ChangeOutcome;
pub(crate) use knowledge::Knowledge;
pub(crate) use snapshot::Snapshot;
pub(crate) use snapshot::Versions;
