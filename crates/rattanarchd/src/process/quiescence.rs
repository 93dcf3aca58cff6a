//! Waits until slices that are to be released are quiet.

use std::collections::BTreeMap;

use rattanarch_ownership::Event;
use rattanarch_types::Fence;
use rattanarch_types::KeyHash;
use rattanarch_types::Moment;
use rattanarch_types::SliceId;

use crate::request::RunningRequests;

/// Follows one release at a time, as the node asks for it.
///
/// A slice is quiet when no request for it runs here and every request whose end is unknown has
/// been settled: the upstream runs nothing under lower fences, or refuses whatever is left since
/// its last grant has ended.
#[derive(Debug)]
pub(crate) struct Quiescence {
    running: RunningRequests,
    pending: Option<Pending>,
    /// Latest end of any grant that the upstream was offered.
    offered: Moment,
    /// Whether the upstream has been asked to settle by a higher fence.
    raising: bool,
}

#[derive(Clone, Debug)]
struct Pending {
    slices: Vec<SliceId>,
    hot: Vec<KeyHash>,
}

impl Quiescence {
    /// Follows the requests of `running`.
    pub(crate) fn new(running: RunningRequests) -> Self {
        Self { running, pending: None, offered: Moment::ZERO, raising: false }
    }

    /// Begins to wait for slices and hot keys; replaces an earlier wait.
    pub(crate) fn start(&mut self, slices: Vec<SliceId>, hot: Vec<KeyHash>) {
        self.pending = Some(Pending { slices, hot });
    }

    /// The upstream may have been offered a grant that ends at `until`.
    pub(crate) fn offered(&mut self, until: Moment) {
        self.offered = self.offered.max(until);
    }

    /// The upstream runs nothing under fences lower than `fence`.
    pub(crate) fn fenced(&mut self, fence: Fence) {
        self.raising = false;
        self.running.remove_below(fence);
    }

    /// Whether the upstream must take a higher fence, so that a wait can end; true once a raise.
    pub(crate) fn needs_fence(&mut self) -> bool {
        if self.pending.is_none() || self.raising || self.running.unresolved().is_empty() {
            return false;
        }
        self.raising = true;
        true
    }

    /// The end of the wait, if it has come.
    pub(crate) fn poll(&mut self, now: Moment) -> Option<Event> {
        if self.pending.is_some() && now > self.offered {
            self.settle_all();
        }
        let pending = self.pending.as_ref()?;
        if !self.running.is_drained(&pending.slices, &pending.hot) {
            return None;
        }
        let Pending { slices, hot } = self.pending.take()?;
        Some(Event::Drained { slices, hot, handovers: BTreeMap::new() })
    }

    /// Every grant has ended: what has no known end yet is refused when it takes effect.
    fn settle_all(&self) {
        for request in self.running.unresolved() {
            if request.fence.is_some() {
                self.running.remove(request.id);
            }
        }
    }
}
