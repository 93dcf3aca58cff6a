//! Protection against replayed packets.

use std::collections::HashMap;

use rattanarch_types::BootId;

use crate::WireError;

/// Remembers the last sequence number of each sender and takes only later ones.
///
/// A packet that was overtaken on its way counts as lost, which the lease protocol bears.
#[derive(Clone, Debug, Default)]
pub struct ReplayWindow {
    last: HashMap<BootId, u64>,
}

impl ReplayWindow {
    /// Takes frame `sequence` of `from`.
    ///
    /// # Errors
    /// [`WireError::Replayed`] when it is not later than the last taken.
    pub fn accept(&mut self, from: BootId, sequence: u64) -> Result<(), WireError> {
        let last = self.last.entry(from).or_insert(0);
        if sequence <= *last {
            return Err(WireError::Replayed { from, sequence });
        }
        *last = sequence;
        Ok(())
    }

    /// Forgets every sender for which `keep` is false; called when the members change.
    pub fn retain(&mut self, keep: impl Fn(BootId) -> bool) {
        self.last.retain(|&from, _| keep(from));
    }
}
