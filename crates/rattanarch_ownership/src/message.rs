//! Messages between the nodes of a service.

use std::time::Duration;

use rattanarch_types::BootId;
use rattanarch_types::Moment;
use rattanarch_types::Version;

/// A message from one member to another. Loss, duplication and reordering are harmless.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Message {
    /// An owner requests that a witness acknowledge its lease.
    Renew {
        /// Term of the owner for which the lease is.
        term: Version,
        /// Owner's clock at the time of sending; the witness echoes it, and only the owner interprets it.
        sent: Moment,
        /// Record version that the owner has applied.
        record: Version,
        /// Request rate of the owner, in requests a second.
        load: u32,
    },
    /// A witness acknowledges a lease.
    Ack {
        /// Acknowledged term.
        term: Version,
        /// Copied from the request.
        sent: Moment,
        /// Record version that the witness has applied.
        record: Version,
        /// Request rate of the witness as an owner, in requests a second.
        load: u32,
    },
    /// A witness does not acknowledge the term: it has promised so, or the owner is no longer a member.
    Refused {
        /// Highest sealed term of the owner.
        sealed: Version,
        /// Record version that the witness has applied.
        record: Version,
    },
    /// A member that takes over `owner` requests that a witness of it no longer acknowledge its terms up to `term`.
    Seal {
        /// Owner to seal.
        owner: BootId,
        /// Highest term to seal.
        term: Version,
        /// Whether the witness must agree even if it has heard from the owner within the suspicion time.
        forced: bool,
    },
    /// A witness promises to acknowledge no term of `owner` up to `term`.
    Sealed {
        /// Sealed owner.
        owner: BootId,
        /// Highest sealed term.
        term: Version,
        /// How long the witness's last acknowledgement may still count from the time of sending, on the slowest clock
        /// within the drift bound.
        remaining: Duration,
    },
    /// A witness declines a seal because it has heard from the owner within the suspicion time.
    Alive {
        /// Owner that is alive.
        owner: BootId,
    },
}
