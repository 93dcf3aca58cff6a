//! Requests that run at the upstream. A slice is released only after its requests have ended.

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
    /// Key of a request in [`RunningRequests`].
    pub struct EntryId;
}

/// The requests that run at the upstream beside this daemon, or may still run there.
///
/// A request is registered before its ownership check and removed when its response has ended. A
/// request with an unknown outcome stays until the upstream has confirmed that it has ended.
#[derive(Clone, Debug)]
pub struct RunningRequests {
    views: Views,
    state: Arc<Mutex<SlotMap<EntryId, RequestEntry>>>,
    /// Number of removals, to notify waiting tasks.
    removals: Arc<watch::Sender<u64>>,
}

#[derive(Clone, Debug)]
struct RequestEntry {
    /// Request id that was sent to the upstream.
    request: String,
    /// Hash of the key; `None` for unkeyed services.
    hash: Option<KeyHash>,
    /// Fence sent with the request; `None` before the ownership check, or if none is sent.
    fence: Option<Fence>,
    /// Whether the outcome is unknown.
    unresolved: bool,
}

/// Description of a request with an unknown outcome, which may still run at the upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnresolvedRequest {
    /// Key of the request in [`RunningRequests`].
    pub id: EntryId,
    /// Request id that was sent to the upstream.
    pub request: String,
    /// Hash of the key; `None` for unkeyed services.
    pub hash: Option<KeyHash>,
    /// Fence that was sent with the request; `None` if it was sent without one.
    pub fence: Option<Fence>,
}

impl RunningRequests {
    pub(crate) fn new(views: Views) -> Self {
        let removals = Arc::new(watch::Sender::new(0));
        Self { views, state: Arc::default(), removals }
    }

    /// Number of requests that run or may still run.
    pub fn count(&self) -> usize {
        self.lock().len()
    }

    /// Whether no request runs for the keys of `slices`, except the hot keys of the applied record,
    /// nor for the keys of `hot`.
    ///
    /// The published view must already list these slices and keys as being released, so that no new
    /// request for them starts and a true result stays true.
    pub fn is_drained(&self, slices: &[SliceId], hot: &[KeyHash]) -> bool {
        let view = self.views.current();
        let record = &view.serving.record;
        let blocks = |hash: &KeyHash| {
            // A hot key does not move with its slice.
            if record.hot.contains_key(hash) || hot.contains(hash) {
                return hot.contains(hash);
            }
            slices.contains(&slice_of(*hash, record.slice_count()))
        };
        !self.lock().values().filter_map(|run| run.hash.as_ref()).any(blocks)
    }

    /// Waits until [`RunningRequests::is_drained`] is true.
    pub async fn wait_until_drained(&self, slices: &[SliceId], hot: &[KeyHash]) {
        let mut removals = self.removals.subscribe();
        while !self.is_drained(slices, hot) {
            // Can't fail: `self` owns the sender.
            let _ = removals.changed().await;
        }
    }

    /// Waits until no request runs.
    pub async fn wait_until_idle(&self) {
        let mut removals = self.removals.subscribe();
        while self.count() > 0 {
            let _ = removals.changed().await;
        }
    }

    /// The requests with an unknown outcome, which may still run.
    pub fn unresolved(&self) -> Vec<UnresolvedRequest> {
        let state = self.lock();
        let unresolved = state.iter().filter(|(_, run)| run.unresolved);
        let list = unresolved.map(|(id, run)| UnresolvedRequest {
            id,
            request: run.request.clone(),
            hash: run.hash,
            fence: run.fence,
        });
        list.collect()
    }

    /// Removes a request that no longer runs at the upstream.
    pub fn remove(&self, id: EntryId) {
        let removed = self.lock().remove(id);
        if removed.is_some() {
            self.notify_removal();
        }
    }

    /// Removes the unresolved requests with a fence lower than `fence`. To be called only after the
    /// upstream has accepted `fence`: from then on, it neither runs nor starts requests with a lower one.
    pub fn remove_below(&self, fence: Fence) {
        self.lock().retain(|_, run| {
            let resolved = run.unresolved && run.fence.is_some_and(|carried| carried < fence);
            !resolved
        });
        self.notify_removal();
    }

    /// Registers a request. Must be called before its ownership check.
    pub(crate) fn register(&self, request: String, hash: Option<KeyHash>) -> RunningGuard {
        let run = RequestEntry { request, hash, fence: None, unresolved: false };
        let id = self.lock().insert(run);
        RunningGuard { running: self.clone(), id, keep_entry: false }
    }

    fn notify_removal(&self) {
        self.removals.send_modify(|count| *count = count.wrapping_add(1));
    }

    fn lock(&self) -> MutexGuard<'_, SlotMap<EntryId, RequestEntry>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running request. Dropping the guard removes it.
#[derive(Debug)]
pub(crate) struct RunningGuard {
    running: RunningRequests,
    id: EntryId,
    /// Whether the entry stays registered after the guard is dropped.
    keep_entry: bool,
}

impl RunningGuard {
    /// Sets the fence that is sent with the request.
    pub(crate) fn set_fence(&self, fence: Option<Fence>) {
        if let Some(run) = self.running.lock().get_mut(self.id) {
            run.fence = fence;
        }
    }

    /// Marks the request's outcome as unknown. It stays registered until it is removed explicitly.
    pub(crate) fn into_unresolved(mut self) -> UnresolvedHandle {
        if let Some(run) = self.running.lock().get_mut(self.id) {
            run.unresolved = true;
        }
        self.keep_entry = true;
        UnresolvedHandle { running: self.running.clone(), id: self.id }
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        if !self.keep_entry {
            self.running.remove(self.id);
        }
    }
}

/// Handle of a registered request with an unknown outcome.
#[derive(Debug)]
pub(crate) struct UnresolvedHandle {
    running: RunningRequests,
    id: EntryId,
}

impl UnresolvedHandle {
    /// Removes the request after the upstream has confirmed that it has ended.
    pub(crate) fn remove(self) {
        self.running.remove(self.id);
    }
}
