//! One execution, which ends in the journal whatever becomes of its caller.

use std::sync::Arc;

use crate::upstream::Outcome;
use crate::upstream::service::Shared;
use crate::upstream::state::RunId;
use crate::upstream::state::Stop;
use crate::upstream::work::Order;
use crate::upstream::work::Refusal;

/// A request that was let in. Dropped before it took effect, it is abandoned.
#[derive(Debug)]
pub(crate) struct Run {
    shared: Arc<Shared>,
    id: RunId,
    ended: bool,
    stop: Stop,
}

impl Run {
    /// Lets `order` in.
    pub(crate) fn start(shared: &Arc<Shared>, order: &Order) -> Result<Self, Refusal> {
        let (id, stop) = shared.state().start(order)?;
        Ok(Self { shared: Arc::clone(shared), id, ended: false, stop })
    }

    /// Waits until the execution is to stop.
    pub(crate) async fn stopped(&mut self) -> Outcome {
        let reason = self.stop.wait_for(Option::is_some).await;
        reason.ok().and_then(|reason| *reason).unwrap_or(Outcome::Abandoned)
    }

    /// Whether the execution is to stop.
    pub(crate) fn stop_reason(&self) -> Option<Outcome> {
        *self.stop.borrow()
    }

    /// Takes effect, if the grant has held.
    pub(crate) fn commit(mut self, order: &Order) -> Result<u64, Refusal> {
        self.ended = true;
        self.shared.state().commit(self.id, order)
    }

    /// Ends without effect.
    pub(crate) fn end(mut self, outcome: Outcome) {
        self.ended = true;
        self.shared.state().end(self.id, outcome);
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.ended {
            self.shared.state().end(self.id, Outcome::Abandoned);
        }
    }
}
