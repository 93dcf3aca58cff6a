//! Input of a node.

use std::collections::BTreeMap;

use rattanarch_types::BootId;
use rattanarch_types::Fence;
use rattanarch_types::KeyHash;
use rattanarch_types::Moment;
use rattanarch_types::Record;
use rattanarch_types::SliceId;
use rattanarch_types::WriteId;

use crate::Message;

/// Input that the daemon feeds to its node.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time has passed; sent about ten times per heartbeat interval, less often if that interval is short.
    Tick,
    /// A record was read; one older than the applied record is ignored. A service without a record has an empty one at
    /// version 0.
    Record {
        /// What was read.
        record: Record,
        /// Time at which the read was sent, if the platform answered it directly. `None` if the record came from a
        /// peer, or in the response to a watch request, which may have been sent long before.
        read_sent: Option<Moment>,
    },
    /// The upstream has taken this fence, and this process no longer uses lower ones; sent at the start and in
    /// reply to [`Action::Fence`](crate::Action::Fence).
    Fenced {
        /// First fence that this process may use from now on.
        fence: Fence,
    },
    /// A peer's message, whose origin the codec has authenticated.
    Message {
        /// Member that sent it.
        from: BootId,
        /// What it sent.
        message: Message,
    },
    /// The outcome of an [`Action::Write`](crate::Action::Write).
    Written {
        /// Copied from the written record.
        write_id: WriteId,
        /// The outcome.
        outcome: WriteOutcome,
    },
    /// Requests for these slices and hot keys have ended, at the daemon and its upstream.
    Drained {
        /// Drained slices.
        slices: Vec<SliceId>,
        /// Drained hot keys.
        hot: Vec<KeyHash>,
        /// What the upstream hands over to the next owners, for some of the slices.
        handovers: BTreeMap<SliceId, String>,
    },
    /// Members that operators have taken out of service or declared lost, according to the configuration; replaces
    /// the sets of the previous such event.
    ExcludedMembers {
        /// Members taken out of service, singly or with their data centre: they get no slices, are not chosen as
        /// witnesses, and release what they own.
        excluded: Vec<BootId>,
        /// Members declared lost by an operator.
        lost: Vec<BootId>,
    },
    /// Request rates by slice and hot key, measured by this daemon.
    Load {
        /// Rates of owned slices, in requests a second.
        slices: BTreeMap<SliceId, u32>,
        /// Rates of the hottest owned keys, in requests a second.
        keys: BTreeMap<KeyHash, u32>,
    },
    /// A release of slices may begin in this step. Sent when the daemon can notify its upstream at once, or when it has
    /// no upstream. With [`Spread::ByLoad`](rattanarch_placement::Spread::ByLoad), releases begin only in such a step,
    /// so that the slices are served until the upstream is told to give them up.
    ReleaseWindow {
        /// Slices to move to other members because of load.
        moves: BTreeMap<SliceId, BootId>,
    },
    /// Another daemon received a response from the platform, so the platform is reachable. Lets the node skip the read
    /// that otherwise precedes an update; no lease depends on it.
    PlatformReached {
        /// Latest time at which the other daemon may have sent its call, on this node's clock.
        call_sent: Moment,
    },
    /// A member has declined a change request of this node, or could not be reached; see
    /// [`Action::Delegate`](crate::Action::Delegate).
    Declined {
        /// Member that the action named as `to`.
        by: BootId,
    },
    /// The process is to stop: release everything and leave.
    Stop,
}

/// Outcome of a conditional update.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOutcome {
    /// The platform accepted it.
    Accepted,
    /// Another write came first; this is the record that is stored now.
    Conflict(Record),
    /// There was no response: the update may have taken effect, or may do so later. The daemon reads the record until
    /// the platform answers, and reports it as a new [`Event::Record`].
    Unknown,
    /// The update can't take effect: the platform was unreachable before any byte was sent.
    Failed,
}
