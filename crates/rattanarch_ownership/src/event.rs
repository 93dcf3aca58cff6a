//! What a node is told.

use std::collections::BTreeMap;

use rattanarch_types::BootId;
use rattanarch_types::Fence;
use rattanarch_types::KeyHash;
use rattanarch_types::Moment;
use rattanarch_types::Record;
use rattanarch_types::SliceId;
use rattanarch_types::WriteId;

use crate::Message;

/// What the daemon tells its node.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time has passed; sent at least every tenth of a heartbeat.
    Tick,
    /// A record was read; older ones than the applied are ignored. A service without a record has
    /// an empty one at version 0.
    Record {
        /// What was read.
        record: Record,
        /// When the read was sent, if the platform itself answered it; `None` if a peer did, or
        /// if the answer came by a watch that was sent long ago.
        read_sent: Option<Moment>,
    },
    /// The upstream has taken this fence, and this process uses none below it any more; at the start
    /// and as the answer to [`Action::Fence`](crate::Action::Fence).
    Fenced {
        /// First fence that this process may use from now on.
        fence: Fence,
    },
    /// A peer's message, its origin proved by the codec.
    Message {
        /// Member that sent it.
        from: BootId,
        /// What it sent.
        message: Message,
    },
    /// The end of an [`Action::Write`](crate::Action::Write).
    Written {
        /// Copied from the written record.
        write_id: WriteId,
        /// How it ended.
        outcome: WriteOutcome,
    },
    /// No request for these slices and hot keys runs any more, at the daemon or its upstream.
    Drained {
        /// Slices that were to be quiet.
        slices: Vec<SliceId>,
        /// Hot keys that were to be quiet.
        hot: Vec<KeyHash>,
        /// What the upstream left of some of the slices for their next owner.
        handovers: BTreeMap<SliceId, String>,
    },
    /// What operators want of the members, by the configuration.
    Intent {
        /// Members that are out, themselves or by their data centre: they take no slices and no
        /// witness duty, and release what they have.
        barred: Vec<BootId>,
        /// Members declared lost by an operator.
        lost: Vec<BootId>,
    },
    /// Requests a second by slice and hot key, measured by this daemon.
    Load {
        /// Requests a second of owned slices.
        slices: BTreeMap<SliceId, u32>,
        /// Requests a second of the hottest owned keys.
        keys: BTreeMap<KeyHash, u32>,
    },
    /// The upstream can be told now to give up slices, or there is none; with
    /// [`Spread::ByLoad`](rattanarch_placement::Spread::ByLoad) slices are given up at no other
    /// time, so that they are served until then.
    ReleaseWindow {
        /// Slices to be given to other members for their load.
        moves: BTreeMap<SliceId, BootId>,
    },
    /// The platform answered another daemon, at this time on the node's clock. Spares a read before an update
    /// is begun; nothing of a lease rests on it.
    PlatformSeen {
        /// When the other's call was sent at the latest.
        at: Moment,
    },
    /// A member does not write this node into the record, or could not be asked; see
    /// [`Action::Delegate`](crate::Action::Delegate).
    Declined {
        /// The member.
        by: BootId,
    },
    /// The process is to stop: release everything and leave.
    Stop,
}

/// How a conditional update ended.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOutcome {
    /// The platform accepted it.
    Accepted,
    /// Another write came first; the record that stands now.
    Conflict(Record),
    /// No answer came: it may have taken effect, now or later. The daemon reads back until the
    /// platform answers and reports that as a new [`Event::Record`].
    Unknown,
    /// The platform did not take it: it was unreachable before any byte was sent.
    Failed,
}
