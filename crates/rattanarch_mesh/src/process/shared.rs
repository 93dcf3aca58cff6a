//! State that all parts of the process share.

use std::cell::Cell;
use std::cell::RefCell;
use std::time::Duration;

use rattanarch_adapter::Bounds;
use rattanarch_adapter::Store;
use rattanarch_process::Clock;
use rattanarch_quarantine::Quarantine;
use rattanarch_types::Moment;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::connection::Buffers;
use crate::connection::HeldBytes;
use crate::connection::UplinkScheduler;
use crate::control::Control;
use crate::control::PeerSocket;
use crate::control::Quotas;
use crate::process::ActiveCount;
use crate::process::Phase;
use crate::process::Settings;
use crate::process::StoreFollower;
use crate::process::lag::Lag;
use crate::process::meters::Meters;
use crate::request::Peers;
use crate::upstream::Upstream;
use crate::version::Knowledge;

/// State of the process. No borrow of a cell is held across an await.
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
    /// Notified of each change of `knowledge`, of grants and of the upstream.
    pub(crate) state_changed: Notify,
    pub(crate) upstream: Upstream,
    pub(crate) control: RefCell<Control>,
    pub(crate) socket: PeerSocket,
    pub(crate) quotas: Quotas,
    /// Requests that were in flight when upstreams ended.
    pub(crate) quarantine: RefCell<Quarantine>,
    pub(crate) peers: Peers,
    /// What callers and peers make this process hold.
    pub(crate) held: HeldBytes,
    /// Buffers of the upstream's responses.
    pub(crate) buffers: Buffers,
    /// Schedules large responses on the uplink of this machine.
    pub(crate) uplink: UplinkScheduler,
    pub(crate) phase: watch::Sender<Phase>,
    /// Mean delay with which this process runs tasks that are due.
    pub(crate) lag: Lag,
    /// Requests of callers and peers in progress.
    pub(crate) active_requests: ActiveCount,
    /// Incoming connections. A response counts as sent only when its connection has ended.
    pub(crate) connections: ActiveCount,
}

/// Whether the store answers calls of this daemon.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreStatus {
    /// Whether the last call was answered.
    pub(crate) reachable: bool,
    /// When `reachable` last changed; zero before the first call.
    pub(crate) since: Moment,
    /// When the last call ended.
    pub(crate) last_call: Moment,
}

/// How long the store counts as unreachable after a failed call, for a daemon that does not follow it: such a daemon
/// notices only by its own next call that the store answers again.
const UNREACHABLE_TIME: Duration = Duration::from_secs(5);

impl Shared {
    /// The time now.
    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Whether the last call failed, and so recently that the store still counts as unreachable.
    pub(crate) fn is_store_unreachable(&self) -> bool {
        let status = self.store_status.get();
        let failed = status.since > Moment::ZERO && !status.reachable;
        failed && (self.follower.follows() || self.now() < status.last_call + UNREACHABLE_TIME)
    }

    /// Records whether a call to the store was answered, and `reason` if it was not.
    pub(crate) fn record_store_result(&self, reachable: bool, reason: &dyn std::fmt::Display) {
        let (before, now) = (self.store_status.get(), self.now());
        if before.reachable == reachable && before.since > Moment::ZERO {
            return self.store_status.set(StoreStatus { last_call: now, ..before });
        }
        let lasted = now.saturating_sub(before.since).as_millis() as u64;
        self.store_status.set(StoreStatus { reachable, since: now, last_call: now });
        if reachable {
            self.follower.reset_backoff();
            log::info!(lasted_ms = lasted; "store reached");
        } else {
            log::warn!(reason:% = reason, lasted_ms = lasted; "store lost");
        }
    }
}
