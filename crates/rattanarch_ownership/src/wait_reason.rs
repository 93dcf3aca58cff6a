//! What a node waits for.

use derive_more::Display;
use rattanarch_types::BootId;

/// What a node needs before it can go on; shown to operators.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum WaitReason {
    /// Nothing: it is a member and has its lease, or has ended.
    #[display("nothing")]
    Nothing,
    /// An answer from the platform.
    #[display("an answer from the platform")]
    Platform,
    /// The older life of its instance, which still owns slices: its takeover, or a fence of the
    /// upstream.
    #[display("the end of the instance's older life {_0:#x}")]
    PreviousBoot(BootId),
    /// A majority of its witnesses, or their replacement.
    #[display("a majority of witnesses")]
    Witnesses,
    /// Requests that run for slices which it releases.
    #[display("running requests to end")]
    Requests,
}
