//! Objects with versions, conditional updates and watches.

use std::collections::BTreeMap;
use std::sync::Arc;

use rattanarch_types::Version;
use serde::Serialize;
use serde_json::Value;
use tokio::sync::watch;

/// An object as the platform answers it.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Stored {
    pub(crate) version: Version,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) value: Option<Arc<Value>>,
}

/// One path's object.
#[derive(Debug)]
struct Entry {
    current: Stored,
    /// The version before; version 0 when there was none.
    previous: Stored,
    /// Carries `current.version`.
    versions: watch::Sender<Version>,
}

/// All objects; an entry may be at version 0 while only watches know its path.
#[derive(Debug, Default)]
pub(crate) struct Store {
    entries: BTreeMap<String, Entry>,
}

impl Store {
    /// The object at `path`; version 0 when nothing is stored.
    pub(crate) fn get(&self, path: &str) -> Stored {
        self.entries.get(path).map(|entry| entry.current.clone()).unwrap_or_default()
    }

    /// The object at `path` one version ago.
    pub(crate) fn get_previous(&self, path: &str) -> Stored {
        self.entries.get(path).map(|entry| entry.previous.clone()).unwrap_or_default()
    }

    /// Replaces the object at `path` if its version is `expected`; else tells what stands.
    pub(crate) fn put(
        &mut self,
        path: &str,
        expected: Version,
        value: Value,
    ) -> Result<Version, Stored> {
        let entry = self.entry(path);
        if entry.current.version != expected {
            return Err(entry.current.clone());
        }
        let version = expected + 1;
        let next = Stored { version, value: Some(Arc::new(value)) };
        entry.previous = std::mem::replace(&mut entry.current, next);
        entry.versions.send_replace(version);
        Ok(version)
    }

    /// Follows the version of the object at `path`.
    pub(crate) fn versions(&mut self, path: &str) -> watch::Receiver<Version> {
        self.entry(path).versions.subscribe()
    }

    /// Paths of stored objects that start with `prefix`, in order.
    pub(crate) fn list(&self, prefix: &str) -> Vec<&str> {
        let from = self.entries.range(prefix.to_owned()..);
        let matching = from.take_while(|(path, _)| path.starts_with(prefix));
        let stored = matching.filter(|(_, entry)| entry.current.version > 0);
        stored.map(|(path, _)| path.as_str()).collect()
    }

    fn entry(&mut self, path: &str) -> &mut Entry {
        self.entries.entry(path.to_owned()).or_insert_with(|| Entry {
            current: Stored::default(),
            previous: Stored::default(),
            versions: watch::Sender::new(0),
        })
    }
}
