//! Newest known version of a stored object.

use rattanarch_types::Version;

/// Newest known version of an object; the version never decreases.
#[derive(Clone, Debug)]
pub struct Latest<T> {
    version: Version,
    value: Option<T>,
}

impl<T> Default for Latest<T> {
    fn default() -> Self {
        Self { version: 0, value: None }
    }
}

impl<T> Latest<T> {
    /// Replaces the value if `version` is higher than the known one; returns whether it did.
    pub fn offer(&mut self, version: Version, value: T) -> bool {
        let is_newer = self.value.is_none() || version > self.version;
        if is_newer {
            self.version = version;
            self.value = Some(value);
        }
        is_newer
    }

    /// Version of the value; 0 if there is none yet.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The value, if there is one yet.
    pub fn get(&self) -> Option<&T> {
        self.value.as_ref()
    }
}
