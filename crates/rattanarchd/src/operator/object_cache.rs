//! Cache of objects read from the platform.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use rattanarch_config::Latest;
use rattanarch_types::Moment;
use rattanarch_types::Version;

/// Newest known objects of one kind, by name, with the time at which each was last confirmed to be current. Only stored
/// objects are cached, so names that do not exist take no memory.
#[derive(Debug)]
pub(crate) struct ObjectCache<T> {
    objects: Mutex<BTreeMap<String, CacheEntry<T>>>,
}

#[derive(Debug)]
struct CacheEntry<T> {
    latest: Latest<Arc<T>>,
    confirmed_at: Moment,
}

/// An object as read or as last known, with the time at which it was last confirmed to be current.
#[derive(Debug)]
pub(crate) struct ObservedObject<T> {
    /// The object.
    pub value: Arc<T>,
    /// Its version.
    pub version: Version,
    /// When it was last confirmed to be current; `None` if never.
    pub confirmed_at: Option<Moment>,
    /// Why it could not be read from the platform now; `None` if it could be.
    pub read_error: Option<String>,
}

impl<T> Default for ObjectCache<T> {
    fn default() -> Self {
        Self { objects: Mutex::default() }
    }
}

impl<T> ObjectCache<T> {
    /// Stores what the platform returned at `now`, unless a newer version is cached.
    pub(crate) fn insert(&self, name: &str, version: Version, value: Arc<T>, now: Moment) {
        let mut objects = self.lock();
        let entry = objects
            .entry(name.to_owned())
            .or_insert_with(|| CacheEntry { latest: Latest::default(), confirmed_at: now });
        if version >= entry.latest.version() {
            entry.confirmed_at = now;
        }
        entry.latest.offer(version, value);
    }

    /// The cached object.
    pub(crate) fn get(&self, name: &str) -> Option<ObservedObject<T>> {
        let objects = self.lock();
        let entry = objects.get(name)?;
        let value = Arc::clone(entry.latest.get()?);
        Some(ObservedObject {
            value,
            version: entry.latest.version(),
            confirmed_at: Some(entry.confirmed_at),
            read_error: None,
        })
    }

    /// Version of the cached object; 0 if there is none.
    pub(crate) fn version(&self, name: &str) -> Version {
        self.lock().get(name).map_or(0, |entry| entry.latest.version())
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, CacheEntry<T>>> {
        self.objects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
