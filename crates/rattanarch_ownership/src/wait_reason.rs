//! What a node waits for.

use derive_more::Display;
use rattanarch_types::BootId;

/// What a node needs before it can proceed; shown to operators.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum WaitReason {
    /// Nothing: it is a member with a lease, or has ended.
    #[display("nothing")]
    Nothing,
    /// A response from the platform.
    #[display("an answer from the platform")]
    Platform,
    /// The previous boot of its instance, which still owns slices: until it is taken over, or the upstream fences it
    /// off.
    #[display("the end of the instance's previous boot {_0:#x}")]
    PreviousBoot(BootId),
    /// A majority of its witnesses, or their replacement.
    #[display("a majority of witnesses")]
    Witnesses,
    /// Running requests for slices that it releases.
    #[display("running requests to end")]
    Requests,
}
