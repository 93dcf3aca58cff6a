//! Configuration versions that other members last reported.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use rattanarch_types::BootId;
use rattanarch_types::Version;

/// Configuration version that each member last reported in a packet; shared by the threads of the process.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportedVersions {
    versions: Arc<Mutex<BTreeMap<BootId, Version>>>,
}

impl ReportedVersions {
    /// Stores the version that a member has reported.
    pub(crate) fn insert(&self, from: BootId, version: Version) {
        self.lock().insert(from, version);
    }

    /// Removes the members for which `keep` returns false.
    pub(crate) fn retain(&self, keep: impl Fn(BootId) -> bool) {
        self.lock().retain(|&from, _| keep(from));
    }

    /// The last reported version of each member.
    pub(crate) fn versions(&self) -> BTreeMap<BootId, Version> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<BootId, Version>> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
