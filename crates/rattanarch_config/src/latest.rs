//! What a daemon knows of one stored object.

use rattanarch_types::Version;

/// Newest known version of an object. It never goes back to a lower one.
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
    /// Takes `value` if its version is higher than the held one; says whether it did.
    pub fn offer(&mut self, version: Version, value: T) -> bool {
        let is_newer = self.value.is_none() || version > self.version;
        if is_newer {
            self.version = version;
            self.value = Some(value);
        }
        is_newer
    }

    /// Version of the held value; 0 before there is one.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The held value.
    pub fn get(&self) -> Option<&T> {
        self.value.as_ref()
    }
}
