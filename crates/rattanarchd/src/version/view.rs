//! Immutable snapshot of the daemon's state for the code that handles requests.

use std::sync::Arc;
use std::sync::RwLock;

use rattanarch_ownership::Serving;
use rattanarch_types::Configuration;
use rattanarch_types::Fence;
use rattanarch_types::Moment;
use rattanarch_types::Service;

/// Grant that the upstream beside this daemon has accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Fence that requests carry.
    pub fence: Fence,
    /// Time from which the upstream refuses the fence at the latest, on this daemon's clock; not after
    /// the end of the lease.
    pub until: Moment,
}

/// Snapshot of the daemon's state for the code that handles requests; replaced as a whole, never modified.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Applied record, lease, and slices that are being released.
    pub serving: Serving,
    /// The part of the newest known configuration that concerns this daemon: its own service and the
    /// data centres.
    pub configuration: Arc<Configuration>,
    /// This daemon's service in `configuration`; `None` until it is known.
    pub service: Option<Arc<Service>>,
    /// Last grant that the upstream has accepted; `None` before the first.
    pub grant: Option<Grant>,
    /// When the record and the configuration were last confirmed to be current, on this daemon's
    /// clock; `None` before the first confirmation.
    pub confirmed_at: Option<Moment>,
    /// Whether the process is stopping and refuses new requests.
    pub stopping: bool,
}

/// The current [`View`], shared by all threads of the process.
#[derive(Clone, Debug, Default)]
pub struct Views {
    current: Arc<RwLock<Arc<View>>>,
}

impl Views {
    /// The most recently published view.
    pub fn current(&self) -> Arc<View> {
        match self.current.read() {
            Ok(view) => Arc::clone(&view),
            Err(poisoned) => Arc::clone(&poisoned.into_inner()),
        }
    }

    /// Replaces the current view.
    pub fn publish(&self, view: View) {
        let view = Arc::new(view);
        match self.current.write() {
            Ok(mut current) => *current = view,
            Err(poisoned) => *poisoned.into_inner() = view,
        }
    }
}
