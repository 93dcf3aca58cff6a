//! What other members last reported.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use rattanarch_types::BootId;
use rattanarch_types::Version;

/// Configuration versions that members reported in packets, shared by the threads of the process.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reports {
    versions: Arc<Mutex<BTreeMap<BootId, Version>>>,
}

impl Reports {
    /// A member has reported a version.
    pub(crate) fn hear(&self, from: BootId, version: Version) {
        self.lock().insert(from, version);
    }

    /// Forgets members for which `keep` is false.
    pub(crate) fn retain(&self, keep: impl Fn(BootId) -> bool) {
        self.lock().retain(|&from, _| keep(from));
    }

    /// Versions by member.
    pub(crate) fn versions(&self) -> BTreeMap<BootId, Version> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<BootId, Version>> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
