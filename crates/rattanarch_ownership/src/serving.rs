//! Snapshot of a node for the code that handles requests.

use std::collections::BTreeSet;
use std::sync::Arc;

use rattanarch_types::BootId;
use rattanarch_types::KeyHash;
use rattanarch_types::Moment;
use rattanarch_types::Record;
use rattanarch_types::slice_of;

/// What the daemon may serve, published after each step of the node.
#[derive(Clone, Debug, Default)]
pub struct Serving {
    /// Boot id of the member; 0 before it has joined.
    pub me: BootId,
    /// Applied record.
    pub record: Arc<Record>,
    /// End of the lease; requests start only strictly before it.
    pub lease_end: Option<Moment>,
    /// Slices that are being released: the member owns them by the record, but no longer serves them.
    pub releasing: Arc<BTreeSet<u16>>,
    /// Hot keys that are being released, or split from their slice.
    pub releasing_hot: Arc<BTreeSet<KeyHash>>,
}

/// Why a request for a key may not start here.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// Another member owns the key.
    #[error("the key is owned by member {0:#x}")]
    Elsewhere(BootId),
    /// No member owns the key.
    #[error("the key has no owner")]
    Unowned,
    /// The lease has ended and is not yet renewed.
    #[error("the owner's lease has ended")]
    LeaseEnded,
    /// The key is moving to another owner.
    #[error("the key is moving to another owner")]
    Moving,
}

impl Serving {
    /// Whether a request for the key whose hash is `hash` may start at `now`.
    ///
    /// # Errors
    /// Why it may not start; with any [`Refusal`] the request has certainly not run.
    pub fn check(&self, now: Moment, hash: KeyHash) -> Result<(), Refusal> {
        match self.record.owner_of(hash) {
            None => return Err(Refusal::Unowned),
            Some(owner) if owner != self.me => return Err(Refusal::Elsewhere(owner)),
            Some(_) => {}
        }
        if self.lease_end.is_none_or(|end| now >= end) {
            return Err(Refusal::LeaseEnded);
        }
        if self.is_releasing(hash) {
            return Err(Refusal::Moving);
        }
        Ok(())
    }

    fn is_releasing(&self, hash: KeyHash) -> bool {
        if self.releasing_hot.contains(&hash) {
            return true;
        }
        let split = self.record.hot.contains_key(&hash);
        !split && self.releasing.contains(&slice_of(hash, self.record.slice_count()))
    }
}
