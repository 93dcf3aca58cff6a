//! What can be wrong with a frame.

use rattanarch_types::BootId;
use rattanarch_types::RecordError;

/// A frame that was not taken.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The frame is shorter than its tag.
    #[error("frame of {0} bytes is shorter than its tag")]
    TooShort(usize),
    /// The frame is longer than its kind may be.
    #[error("frame of {length} bytes is longer than the {limit} allowed")]
    TooLong {
        /// Length of the frame, in bytes.
        length: usize,
        /// Longest frame of its kind, in bytes.
        limit: usize,
    },
    /// The tag is not that of the shared secret and this recipient.
    #[error("frame's tag does not match the shared secret and the recipient")]
    BadTag,
    /// The content is not what its kind requires.
    #[error("frame's content is malformed: {0}")]
    Malformed(String),
    /// The frame was taken before, or a later one of its sender was.
    #[error("frame {sequence} of member {from:#x} is not later than the last taken")]
    Replayed {
        /// Sender of the frame.
        from: BootId,
        /// Sequence number of the frame.
        sequence: u64,
    },
    /// A message kind that this release does not know.
    #[error("message kind {0} is unknown")]
    UnknownKind(u8),
    /// A record that breaks an invariant.
    #[error("record is invalid: {0}")]
    InvalidRecord(#[from] RecordError),
}
