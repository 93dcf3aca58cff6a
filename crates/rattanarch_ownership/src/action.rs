//! What a node wants done.

use rattanarch_types::BootId;
use rattanarch_types::Fence;
use rattanarch_types::KeyHash;
use rattanarch_types::Record;
use rattanarch_types::SliceId;

use crate::ChangeRequest;
use crate::Message;

/// What the daemon carries out for its node.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send to a member; a lost one is sent again by a later tick.
    Send {
        /// Member to send to; its address stands in the record.
        to: BootId,
        /// What to send.
        message: Message,
    },
    /// Replace the record on condition that the stored version is `version - 1`; answer with
    /// [`Event::Written`](crate::Event::Written).
    Write(Record),
    /// Read the record from the platform; answer with [`Event::Record`](crate::Event::Record).
    Read,
    /// Fetch the record from a member that has applied a newer one, or read it from the platform; answer
    /// with [`Event::Record`](crate::Event::Record). Nothing rests on how recent the answer is.
    CatchUp {
        /// The member that has it.
        from: BootId,
    },
    /// Start no more requests for these slices and hot keys, which [`Serving`](crate::Serving)
    /// already refuses, and answer with [`Event::Drained`](crate::Event::Drained) once none runs.
    Drain {
        /// Slices to be quiet.
        slices: Vec<SliceId>,
        /// Hot keys to be quiet.
        hot: Vec<KeyHash>,
    },
    /// Have the upstream take a fence above this one and above every other that it has taken, and
    /// answer with [`Event::Fenced`](crate::Event::Fenced). Asked only before the node has joined,
    /// of an upstream that checks fences; asked again while no answer comes.
    Fence {
        /// The higher of the older life's first fence and this process's own.
        above: Fence,
    },
    /// Have a daemon write what this node wants into the record, with others that it has gathered; answer with
    /// [`Event::Declined`](crate::Event::Declined) if it does not. The record shows the rest. Asked only of nodes
    /// [with gatherers](crate::Node::with_batching).
    Delegate {
        /// The member whose daemon is asked; `None` for the node's own daemon.
        to: Option<BootId>,
        /// What is to be written.
        request: ChangeRequest,
    },
    /// This member was taken over: join again under a new boot id, with a new node.
    Rejoin,
    /// The member has left: everything is released after [`Event::Stop`](crate::Event::Stop), or a
    /// newer process has taken its place in the slot. The process is to end.
    Left,
}
