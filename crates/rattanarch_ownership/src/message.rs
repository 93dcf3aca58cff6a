//! Messages between the nodes of a service.

use std::time::Duration;

use rattanarch_types::BootId;
use rattanarch_types::Moment;
use rattanarch_types::Version;

/// A message from one member to another; lost, repeated and reordered ones do no harm.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Message {
    /// An owner asks a witness to acknowledge its lease.
    Renew {
        /// Term of the owner that the lease is for.
        term: Version,
        /// Owner's clock at the send; echoed, and read by the owner alone.
        sent: Moment,
        /// Record version that the owner has applied.
        record: Version,
        /// Requests a second that the owner serves.
        load: u32,
    },
    /// A witness acknowledges a lease.
    Ack {
        /// Term that is acknowledged.
        term: Version,
        /// Copied from the request.
        sent: Moment,
        /// Record version that the witness has applied.
        record: Version,
        /// Requests a second that the witness serves as an owner.
        load: u32,
    },
    /// A witness has promised not to acknowledge this term, or knows that it ended.
    Refused {
        /// Highest term of the owner that is sealed.
        sealed: Version,
        /// Record version that the witness has applied.
        record: Version,
    },
    /// A sealer asks a witness of `owner` to acknowledge none of its terms up to `term`.
    Seal {
        /// Owner to seal.
        owner: BootId,
        /// Highest term to seal.
        term: Version,
        /// Whether the witness must agree even if it has heard from the owner lately.
        forced: bool,
    },
    /// A witness agrees: it will acknowledge no term of `owner` up to `term`.
    Sealed {
        /// Owner that is sealed.
        owner: BootId,
        /// Highest term that is sealed.
        term: Version,
        /// How long from the answer's send the witness's last acknowledgement may count, by the
        /// slowest clock within the drift bound.
        remaining: Duration,
    },
    /// A witness declines a seal, since it has heard from the owner within the suspicion time.
    Alive {
        /// Owner that is alive.
        owner: BootId,
    },
}
