//! Errors of encoding and decoding.

use rattanarch_types::BootId;
use rattanarch_types::RecordError;

/// Why a frame was rejected.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The frame is shorter than its tag.
    #[error("frame of {0} bytes is shorter than its tag")]
    TooShort(usize),
    /// The frame is longer than the limit for its kind.
    #[error("frame of {length} bytes is longer than the {limit} allowed")]
    TooLong {
        /// Length of the frame, in bytes.
        length: usize,
        /// Longest frame of its kind, in bytes.
        limit: usize,
    },
    /// The tag does not match the shared secret and this recipient.
    #[error("frame's tag does not match the shared secret and the recipient")]
    BadTag,
    /// The content can't be encoded or decoded.
    #[error("frame's content is malformed: {0}")]
    Malformed(String),
    /// This frame or a later one of the same sender was accepted before.
    #[error("frame {sequence} of member {from:#x} is not later than the last accepted frame")]
    Replayed {
        /// Sender of the frame.
        from: BootId,
        /// Sequence number of the frame.
        sequence: u64,
    },
    /// The message kind is unknown to this release.
    #[error("message kind {0} is unknown")]
    UnknownKind(u8),
    /// The record breaks an invariant.
    #[error("record is invalid: {0}")]
    InvalidRecord(#[from] RecordError),
}
