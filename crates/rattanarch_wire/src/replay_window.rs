//! Protection against replayed packets.

use std::collections::HashMap;

use rattanarch_types::BootId;

use crate::WireError;

/// Keeps the highest sequence number of each sender and accepts only higher ones.
///
/// A reordered packet is therefore dropped; the lease protocol tolerates lost packets.
#[derive(Clone, Debug, Default)]
pub struct ReplayWindow {
    last_sequences: HashMap<BootId, u64>,
}

impl ReplayWindow {
    /// Accepts the packet `sequence` of the member `from`.
    ///
    /// # Errors
    /// [`WireError::Replayed`] if `sequence` is not above the last one accepted from `from`.
    pub fn accept(&mut self, from: BootId, sequence: u64) -> Result<(), WireError> {
        let last = self.last_sequences.entry(from).or_insert(0);
        if sequence <= *last {
            return Err(WireError::Replayed { from, sequence });
        }
        *last = sequence;
        Ok(())
    }

    /// Removes every sender for which `keep` is false; called when the set of members changes.
    pub fn retain(&mut self, keep: impl Fn(BootId) -> bool) {
        self.last_sequences.retain(|&from, _| keep(from));
    }
}
