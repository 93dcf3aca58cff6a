//! What was last read from the platform.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use rattanarch_config::Latest;
use rattanarch_types::Moment;
use rattanarch_types::Version;

/// Newest known objects of one kind, by name, with the time at which each was last sure to be
/// current. Only stored objects enter, so names that do not exist take no memory.
#[derive(Debug)]
pub(crate) struct Known<T> {
    objects: Mutex<BTreeMap<String, Item<T>>>,
}

#[derive(Debug)]
struct Item<T> {
    held: Latest<Arc<T>>,
    sure: Moment,
}

/// An object with the time at which it was last sure to be current.
#[derive(Debug)]
pub(crate) struct Look<T> {
    /// The object.
    pub value: Arc<T>,
    /// Its version.
    pub version: Version,
    /// When it was last sure to be current; `None` when never.
    pub sure: Option<Moment>,
    /// Why it was not read from the platform now.
    pub fault: Option<String>,
}

impl<T> Default for Known<T> {
    fn default() -> Self {
        Self { objects: Mutex::default() }
    }
}

impl<T> Known<T> {
    /// Takes what the platform answered at `now`; an older version than the held one is dropped.
    pub(crate) fn learn(&self, name: &str, version: Version, value: Arc<T>, now: Moment) {
        let mut objects = self.lock();
        let item = objects
            .entry(name.to_owned())
            .or_insert_with(|| Item { held: Latest::default(), sure: now });
        if version >= item.held.version() {
            item.sure = now;
        }
        item.held.offer(version, value);
    }

    /// The held object.
    pub(crate) fn get(&self, name: &str) -> Option<Look<T>> {
        let objects = self.lock();
        let item = objects.get(name)?;
        let value = Arc::clone(item.held.get()?);
        Some(Look { value, version: item.held.version(), sure: Some(item.sure), fault: None })
    }

    /// Version of the held object; 0 when none is.
    pub(crate) fn version(&self, name: &str) -> Version {
        self.lock().get(name).map_or(0, |item| item.held.version())
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Item<T>>> {
        self.objects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
