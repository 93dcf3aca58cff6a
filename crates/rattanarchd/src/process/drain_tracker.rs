//! Tracks the drain of slices and hot keys before their release.

use std::collections::BTreeMap;

use rattanarch_ownership::Event;
use rattanarch_types::Fence;
use rattanarch_types::KeyHash;
use rattanarch_types::Moment;
use rattanarch_types::SliceId;

use crate::request::RunningRequests;

/// Tracks one drain at a time, as requested by the node.
///
/// A slice is drained once no request for it runs here and none with an unknown outcome is left: either the upstream
/// has confirmed that it runs no request under a lower fence, or its last grant has ended, so that it refuses what is
/// left.
#[derive(Debug)]
pub(crate) struct DrainTracker {
    running: RunningRequests,
    pending: Option<Drain>,
    /// Latest end of the grants that the upstream may have been offered.
    offered_until: Moment,
    /// Whether a higher fence was requested and the upstream has not confirmed it yet.
    fence_requested: bool,
}

#[derive(Clone, Debug)]
struct Drain {
    slices: Vec<SliceId>,
    hot: Vec<KeyHash>,
}

impl DrainTracker {
    /// Creates a tracker of the requests in `running`.
    pub(crate) fn new(running: RunningRequests) -> Self {
        Self { running, pending: None, offered_until: Moment::ZERO, fence_requested: false }
    }

    /// Starts to drain slices and hot keys; replaces an earlier drain.
    pub(crate) fn start(&mut self, slices: Vec<SliceId>, hot: Vec<KeyHash>) {
        self.pending = Some(Drain { slices, hot });
    }

    /// Notes that the upstream may be offered a grant that ends at `until`.
    pub(crate) fn note_offer(&mut self, until: Moment) {
        self.offered_until = self.offered_until.max(until);
    }

    /// Handles the confirmation that the upstream runs no request under a fence lower than `fence`.
    pub(crate) fn handle_fenced(&mut self, fence: Fence) {
        self.fence_requested = false;
        self.running.remove_below(fence);
    }

    /// Whether the fence has to be raised for the drain to finish; true once for each raise.
    pub(crate) fn needs_fence(&mut self) -> bool {
        if self.pending.is_none() || self.fence_requested || self.running.unresolved().is_empty() {
            return false;
        }
        self.fence_requested = true;
        true
    }

    /// Returns the event that ends the drain, if it is complete at `now`.
    pub(crate) fn poll(&mut self, now: Moment) -> Option<Event> {
        if self.pending.is_some() && now > self.offered_until {
            self.remove_unresolved();
        }
        let pending = self.pending.as_ref()?;
        if !self.running.is_drained(&pending.slices, &pending.hot) {
            return None;
        }
        let Drain { slices, hot } = self.pending.take()?;
        Some(Event::Drained { slices, hot, handovers: BTreeMap::new() })
    }

    /// Removes the requests with an unknown outcome. To be called after all grants have ended: the upstream then refuses
    /// those that have not taken effect yet.
    fn remove_unresolved(&self) {
        for request in self.running.unresolved() {
            if request.fence.is_some() {
                self.running.remove(request.id);
            }
        }
    }
}
