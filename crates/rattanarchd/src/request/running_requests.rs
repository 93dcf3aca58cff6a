//! Which requests run, so that ownership is given up only over what is quiet.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use rattanarch_types::Fence;
use rattanarch_types::KeyHash;
use rattanarch_types::SliceId;
use rattanarch_types::slice_of;
use slotmap::SlotMap;
use slotmap::new_key_type;
use tokio::sync::watch;

use crate::version::Views;

new_key_type! {
    /// Names a request in [`RunningRequests`].
    pub struct RunId;
}

/// The requests that run at the upstream beside this daemon, or may still run there.
///
/// A request is entered before its ownership check and leaves when its answer has ended. One whose
/// outcome is unknown stays until the upstream has confirmed that it runs no more.
#[derive(Clone, Debug)]
pub struct RunningRequests {
    views: Views,
    state: Arc<Mutex<SlotMap<RunId, Run>>>,
    /// Counts departures.
    changes: Arc<watch::Sender<u64>>,
}

#[derive(Clone, Debug)]
struct Run {
    /// Id that the upstream knows the request by.
    request: String,
    /// `None` for services without keys.
    hash: Option<KeyHash>,
    /// `None` before the request was checked, and where the upstream checks no fence.
    fence: Option<Fence>,
    unsettled: bool,
}

/// A request that was given up and may still run at the upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnresolvedRequest {
    /// Names it here.
    pub id: RunId,
    /// Id that the upstream knows it by.
    pub request: String,
    /// Hash of its key; `None` for services without keys.
    pub hash: Option<KeyHash>,
    /// Fence that it carries.
    pub fence: Option<Fence>,
}

impl RunningRequests {
    pub(crate) fn new(views: Views) -> Self {
        let changes = Arc::new(watch::Sender::new(0));
        Self { views, state: Arc::default(), changes }
    }

    /// Number of requests that run or may run.
    pub fn count(&self) -> usize {
        self.lock().len()
    }

    /// Whether nothing runs for the keys of `slices`, hot keys of the applied record aside, nor
    /// for the keys of `hot`.
    ///
    /// Meant for slices and keys that the published view holds already: then no new request for
    /// them starts, and the answer stays true.
    pub fn is_drained(&self, slices: &[SliceId], hot: &[KeyHash]) -> bool {
        let view = self.views.current();
        let record = &view.serving.record;
        let blocks = |hash: &KeyHash| {
            if record.hot.contains_key(hash) || hot.contains(hash) {
                return hot.contains(hash);
            }
            slices.contains(&slice_of(*hash, record.slice_count()))
        };
        !self.lock().values().filter_map(|run| run.hash.as_ref()).any(blocks)
    }

    /// Waits until [`RunningRequests::is_drained`].
    pub async fn drained(&self, slices: &[SliceId], hot: &[KeyHash]) {
        let mut changes = self.changes.subscribe();
        while !self.is_drained(slices, hot) {
            // The sender lives as long as `self`.
            let _ = changes.changed().await;
        }
    }

    /// Waits until nothing runs at all.
    pub async fn idle(&self) {
        let mut changes = self.changes.subscribe();
        while self.count() > 0 {
            let _ = changes.changed().await;
        }
    }

    /// The requests that were given up and may still run.
    pub fn unresolved(&self) -> Vec<UnresolvedRequest> {
        let state = self.lock();
        let unsettled = state.iter().filter(|(_, run)| run.unsettled);
        let list = unsettled.map(|(id, run)| UnresolvedRequest {
            id,
            request: run.request.clone(),
            hash: run.hash,
            fence: run.fence,
        });
        list.collect()
    }

    /// Notes that the upstream runs the request no more.
    pub fn remove(&self, id: RunId) {
        let removed = self.lock().remove(id);
        if removed.is_some() {
            self.note_change();
        }
    }

    /// Notes that the upstream has taken `fence` and runs nothing under lower ones: what was given
    /// up under a lower fence has ended or will be refused.
    pub fn remove_below(&self, fence: Fence) {
        self.lock().retain(|_, run| {
            let ended = run.unsettled && run.fence.is_some_and(|carried| carried < fence);
            !ended
        });
        self.note_change();
    }

    /// Enters a request; to be called before its ownership check.
    pub(crate) fn enter(&self, request: String, hash: Option<KeyHash>) -> RunGuard {
        let run = Run { request, hash, fence: None, unsettled: false };
        let id = self.lock().insert(run);
        RunGuard { running: self.clone(), id, abandoned: false }
    }

    fn note_change(&self) {
        self.changes.send_modify(|count| *count = count.wrapping_add(1));
    }

    fn lock(&self) -> MutexGuard<'_, SlotMap<RunId, Run>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request that runs, until dropped.
#[derive(Debug)]
pub(crate) struct RunGuard {
    running: RunningRequests,
    id: RunId,
    /// Whether the entry outlives the guard.
    abandoned: bool,
}

impl RunGuard {
    /// Notes the fence that the request carries.
    pub(crate) fn set_fence(&self, fence: Option<Fence>) {
        if let Some(run) = self.running.lock().get_mut(self.id) {
            run.fence = fence;
        }
    }

    /// The request's outcome is unknown: keeps it until settled.
    pub(crate) fn abandon(mut self) -> Abandoned {
        if let Some(run) = self.running.lock().get_mut(self.id) {
            run.unsettled = true;
        }
        self.abandoned = true;
        Abandoned { running: self.running.clone(), id: self.id }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if !self.abandoned {
            self.running.remove(self.id);
        }
    }
}

/// A request whose outcome is unknown.
#[derive(Debug)]
pub(crate) struct Abandoned {
    running: RunningRequests,
    id: RunId,
}

impl Abandoned {
    /// The upstream has confirmed that the request runs no more.
    pub(crate) fn settle(self) {
        self.running.remove(self.id);
    }
}
