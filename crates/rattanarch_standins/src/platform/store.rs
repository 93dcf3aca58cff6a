//! Objects with versions, conditional updates and watches.

use std::collections::BTreeMap;
use std::sync::Arc;

use rattanarch_types::Version;
use serde::Serialize;
use serde_json::Value;
use tokio::sync::watch;

/// Object as the platform returns it.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct StoredObject {
    pub(crate) version: Version,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) value: Option<Arc<Value>>,
}

/// Object at one path.
#[derive(Debug)]
struct Entry {
    current: StoredObject,
    /// Previous object; version 0 if there was none.
    previous: StoredObject,
    /// Publishes `current.version` to watches.
    versions: watch::Sender<Version>,
}

/// All objects. An entry has version 0 if its path has only been watched.
#[derive(Debug, Default)]
pub(crate) struct Store {
    entries: BTreeMap<String, Entry>,
}

impl Store {
    /// Returns the object at `path`; version 0 if nothing is stored.
    pub(crate) fn get(&self, path: &str) -> StoredObject {
        self.entries.get(path).map(|entry| entry.current.clone()).unwrap_or_default()
    }

    /// Returns the previous object at `path`; version 0 if there was none.
    pub(crate) fn get_previous(&self, path: &str) -> StoredObject {
        self.entries.get(path).map(|entry| entry.previous.clone()).unwrap_or_default()
    }

    /// Replaces the object at `path` and returns its new version, if the current version is `expected`.
    ///
    /// # Errors
    /// The stored object, on a version mismatch.
    pub(crate) fn put(
        &mut self,
        path: &str,
        expected: Version,
        value: Value,
    ) -> Result<Version, StoredObject> {
        let entry = self.entry(path);
        if entry.current.version != expected {
            return Err(entry.current.clone());
        }
        let version = expected + 1;
        let next = StoredObject { version, value: Some(Arc::new(value)) };
        entry.previous = std::mem::replace(&mut entry.current, next);
        entry.versions.send_replace(version);
        Ok(version)
    }

    /// Subscribes to the version of the object at `path`.
    pub(crate) fn versions(&mut self, path: &str) -> watch::Receiver<Version> {
        self.entry(path).versions.subscribe()
    }

    /// Returns the sorted paths of stored objects that start with `prefix`.
    pub(crate) fn list(&self, prefix: &str) -> Vec<&str> {
        let from = self.entries.range(prefix.to_owned()..);
        let matching = from.take_while(|(path, _)| path.starts_with(prefix));
        let stored = matching.filter(|(_, entry)| entry.current.version > 0);
        stored.map(|(path, _)| path.as_str()).collect()
    }

    fn entry(&mut self, path: &str) -> &mut Entry {
        self.entries.entry(path.to_owned()).or_insert_with(|| Entry {
            current: StoredObject::default(),
            previous: StoredObject::default(),
            versions: watch::Sender::new(0),
        })
    }
}
