//! What the request path knows, replaced as a whole.

use std::sync::Arc;
use std::sync::RwLock;

use rattanarch_ownership::Serving;
use rattanarch_types::Configuration;
use rattanarch_types::Fence;
use rattanarch_types::Moment;
use rattanarch_types::Service;

/// Grant that the upstream beside this daemon has taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Fence that requests carry.
    pub fence: Fence,
    /// Moment by which the upstream refuses the fence, on this daemon's clock; never after the
    /// lease's end.
    pub until: Moment,
}

/// What the request path knows at one time. Never changed: a newer one replaces it.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Ownership: applied record, lease and held slices.
    pub serving: Serving,
    /// The part of the newest configuration known that this daemon acts on: its own service and the
    /// data centres.
    pub configuration: Arc<Configuration>,
    /// This daemon's service in `configuration`; `None` until it is known.
    pub service: Option<Arc<Service>>,
    /// Grant in force; `None` while the upstream has taken none.
    pub grant: Option<Grant>,
    /// When this daemon was last sure to be current, on its clock.
    pub confirmed_at: Option<Moment>,
    /// Whether the process is stopping: new requests are refused.
    pub stopping: bool,
}

/// Holder of the current [`View`], shared by all of the process.
#[derive(Clone, Debug, Default)]
pub struct Views {
    current: Arc<RwLock<Arc<View>>>,
}

impl Views {
    /// The view now.
    pub fn current(&self) -> Arc<View> {
        match self.current.read() {
            Ok(view) => Arc::clone(&view),
            Err(poisoned) => Arc::clone(&poisoned.into_inner()),
        }
    }

    /// Replaces the view.
    pub fn publish(&self, view: View) {
        let view = Arc::new(view);
        match self.current.write() {
            Ok(mut current) => *current = view,
            Err(poisoned) => *poisoned.into_inner() = view,
        }
    }
}
