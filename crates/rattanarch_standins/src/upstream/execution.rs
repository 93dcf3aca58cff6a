//! Execution of one request. Its end is always recorded in the journal, even if the caller disconnects.

use std::sync::Arc;

use crate::upstream::Outcome;
use crate::upstream::standin::Shared;
use crate::upstream::state::ExecutionId;
use crate::upstream::state::StopSignal;
use crate::upstream::work_request::Refusal;
use crate::upstream::work_request::WorkRequest;

/// Execution of an admitted request. It is abandoned if it is dropped before the request takes effect.
#[derive(Debug)]
pub(crate) struct Execution {
    shared: Arc<Shared>,
    id: ExecutionId,
    ended: bool,
    stop: StopSignal,
}

impl Execution {
    /// Admits `work` and starts its execution.
    pub(crate) fn start(shared: &Arc<Shared>, work: &WorkRequest) -> Result<Self, Refusal> {
        let (id, stop) = shared.state().start(work)?;
        Ok(Self { shared: Arc::clone(shared), id, ended: false, stop })
    }

    /// Waits until the execution must stop and returns the reason.
    pub(crate) async fn wait_for_stop(&mut self) -> Outcome {
        let reason = self.stop.wait_for(Option::is_some).await;
        reason.ok().and_then(|reason| *reason).unwrap_or(Outcome::Abandoned)
    }

    /// Reason why the execution must stop, if any.
    pub(crate) fn stop_reason(&self) -> Option<Outcome> {
        *self.stop.borrow()
    }

    /// Lets the request take effect, unless its grant has expired.
    pub(crate) fn commit(mut self, work: &WorkRequest) -> Result<u64, Refusal> {
        self.ended = true;
        self.shared.state().commit(self.id, work)
    }

    /// Ends the execution without effect.
    pub(crate) fn end(mut self, outcome: Outcome) {
        self.ended = true;
        self.shared.state().end(self.id, outcome);
    }
}

impl Drop for Execution {
    fn drop(&mut self) {
        if !self.ended {
            self.shared.state().end(self.id, Outcome::Abandoned);
        }
    }
}
