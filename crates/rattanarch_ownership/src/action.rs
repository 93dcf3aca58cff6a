//! Output of a node.

use rattanarch_types::BootId;
use rattanarch_types::Fence;
use rattanarch_types::KeyHash;
use rattanarch_types::Record;
use rattanarch_types::SliceId;

use crate::ChangeRequest;
use crate::Message;

/// Output that the daemon carries out for its node.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to a member; if it is lost, a later tick sends another.
    Send {
        /// Receiver; its address is in the record.
        to: BootId,
        /// The message.
        message: Message,
    },
    /// Replace the stored record if its version is `version - 1`; reply with
    /// [`Event::Written`](crate::Event::Written).
    Write(Record),
    /// Read the record from the platform; reply with [`Event::Record`](crate::Event::Record).
    Read,
    /// Fetch the record from a member that has applied a newer one, or read it from the platform; reply with
    /// [`Event::Record`](crate::Event::Record). The record need not be the newest.
    CatchUp {
        /// Member that has the newer record.
        from: BootId,
    },
    /// Drain these slices and hot keys, for which [`Serving`](crate::Serving) already refuses new requests; reply with
    /// [`Event::Drained`](crate::Event::Drained) once no request for them runs.
    Drain {
        /// Slices to drain.
        slices: Vec<SliceId>,
        /// Hot keys to drain.
        hot: Vec<KeyHash>,
    },
    /// Make the upstream accept a fence higher than `above` and higher than every fence that it has accepted before;
    /// reply with [`Event::Fenced`](crate::Event::Fenced). Requested only before the node has joined, and only if the upstream
    /// checks fences; repeated while there is no reply.
    Fence {
        /// The higher of two first fences: that of the instance's previous boot and that of this process.
        above: Fence,
    },
    /// Pass a change request to a daemon, which writes it into the record together with others; reply with
    /// [`Event::Declined`](crate::Event::Declined) if that daemon refuses the request or can't be reached. There is no
    /// other reply: a later record shows whether the change was applied. Only nodes [with batching](crate::Node::with_batching) delegate.
    Delegate {
        /// Member whose daemon is to write it; `None` for the node's own daemon.
        to: Option<BootId>,
        /// The change to write.
        request: ChangeRequest,
    },
    /// This member was taken over: join again with a new node under a new boot id.
    Rejoin,
    /// The member has left: it has released everything after [`Event::Stop`](crate::Event::Stop), or a newer process of
    /// its instance has taken its place. The process is to end.
    Left,
}
