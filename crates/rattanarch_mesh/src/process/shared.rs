//! What all parts of the process share.

use std::cell::Cell;
use std::cell::RefCell;
use std::time::Duration;

use rattanarch_adapter::Bounds;
use rattanarch_adapter::Store;
use rattanarch_process::Clock;
use rattanarch_types::Moment;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::connection::UplinkScheduler;
use crate::control::Control;
use crate::control::PeerSocket;
use crate::process::ActiveCount;
use crate::process::Phase;
use crate::process::Settings;
use crate::process::StoreFollower;
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
    pub(crate) store_status: Cell<StoreStatus>,
    pub(crate) knowledge: RefCell<Knowledge>,
    /// Whether this daemon follows the store.
    pub(crate) follower: StoreFollower,
    /// Told of each change of `knowledge`, of grants and of the upstream.
    pub(crate) state_changed: Notify,
    pub(crate) upstream: Upstream,
    pub(crate) control: RefCell<Control>,
    pub(crate) socket: PeerSocket,
    pub(crate) peers: Peers,
    /// Schedules large responses on the uplink of this machine.
    pub(crate) uplink: UplinkScheduler,
    pub(crate) phase: watch::Sender<Phase>,
    /// How late this process runs what is due.
    pub(crate) lag: Lag,
    /// Requests of callers and peers under way.
    pub(crate) active_requests: ActiveCount,
    /// Connections that others have opened. An answer is on its way until its connection ends.
    pub(crate) connections: ActiveCount,
}

/// Whether the store answers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreStatus {
    /// Whether the last call was answered.
    pub(crate) reachable: bool,
    /// When that changed.
    pub(crate) since: Moment,
    /// When the last call ended.
    pub(crate) tried: Moment,
}

/// How long a store that did not answer is taken to be away: a daemon that does not follow it learns of its return
/// only by its own next call.
const LOST_TIME: Duration = Duration::from_secs(5);

impl Shared {
    /// The time now.
    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Whether the store did not answer lately.
    pub(crate) fn is_store_unreachable(&self) -> bool {
        let contact = self.store_status.get();
        let known = contact.since > Moment::ZERO && !contact.reachable;
        known && (self.follower.follows() || self.now() < contact.tried + LOST_TIME)
    }

    /// Notes whether a call to the store was answered.
    pub(crate) fn record_store_result(&self, reachable: bool, reason: &dyn std::fmt::Display) {
        let (before, now) = (self.store_status.get(), self.now());
        if before.reachable == reachable && before.since > Moment::ZERO {
            return self.store_status.set(StoreStatus { tried: now, ..before });
        }
        let lasted = now.saturating_sub(before.since).as_millis() as u64;
        self.store_status.set(StoreStatus { reachable, since: now, tried: now });
        if reachable {
            self.follower.reset_backoff();
            log::info!(lasted_ms = lasted; "store reached");
        } else {
            log::warn!(reason:% = reason, lasted_ms = lasted; "store lost");
        }
    }
}
