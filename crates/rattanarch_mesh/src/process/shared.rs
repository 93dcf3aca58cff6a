//! What all parts of the process share.

use std::cell::Cell;
use std::cell::RefCell;

use rattanarch_adapter::Bounds;
use rattanarch_adapter::Store;
use rattanarch_process::Clock;
use rattanarch_types::Moment;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::connection::LinkTurns;
use crate::control::Control;
use crate::control::PeerSocket;
use crate::process::Phase;
use crate::process::Settings;
use crate::process::Tally;
use crate::process::lag::Lag;
use crate::process::meters::Meters;
use crate::request::Peers;
use crate::upstream::Upstream;
use crate::version::Knowledge;

/// State of the process. No borrow of a cell outlives a step: none is held across an await.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) bounds: Cell<Bounds>,
    pub(crate) clock: Clock,
    pub(crate) meters: Meters,
    pub(crate) store: Store,
    /// Whether the store answered the last call, and since when.
    pub(crate) contact: Cell<StoreContact>,
    pub(crate) knowledge: RefCell<Knowledge>,
    /// Told of each change of `knowledge`, of grants and of the upstream.
    pub(crate) changed: Notify,
    pub(crate) upstream: Upstream,
    pub(crate) control: RefCell<Control>,
    pub(crate) socket: PeerSocket,
    pub(crate) peers: Peers,
    /// Turns of large answers on the link of this machine.
    pub(crate) turns: LinkTurns,
    pub(crate) phase: watch::Sender<Phase>,
    /// How late this process runs what is due.
    pub(crate) lag: Lag,
    /// Requests of callers and peers under way.
    pub(crate) busy: Tally,
    /// Connections that others have opened. An answer is on its way until its connection ends.
    pub(crate) connections: Tally,
}

/// Whether the store answers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreContact {
    /// Whether the last call was answered.
    pub(crate) reachable: bool,
    /// When that changed.
    pub(crate) since: Moment,
}

impl Shared {
    /// The time now.
    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Notes whether a call to the store was answered.
    pub(crate) fn note_store(&self, reachable: bool, reason: &dyn std::fmt::Display) {
        let before = self.contact.get();
        if before.reachable == reachable && before.since > Moment::ZERO {
            return;
        }
        let now = self.now();
        let lasted = now.saturating_sub(before.since).as_millis() as u64;
        self.contact.set(StoreContact { reachable, since: now });
        if reachable {
            log::info!(lasted_ms = lasted; "store reached");
        } else {
            log::warn!(reason:% = reason, lasted_ms = lasted; "store lost");
        }
    }
}
