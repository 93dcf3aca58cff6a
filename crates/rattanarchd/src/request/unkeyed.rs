//! Requests that any instance may run.

use std::time::Instant;

use hyper::Response;
use rattanarch_types::BootId;

use crate::request::OutgoingBody;
use crate::request::RequestError;
use crate::request::RequestHandler;
use crate::request::call::Job;
use crate::request::member_selector::Turn;
use crate::request::member_selector::takes_work;
use crate::request::outcome::Outcome;
use crate::request::outcome::ending;

impl RequestHandler {
    /// Runs the request at the better of two random members, once more elsewhere if the first
    /// attempt allows it.
    pub(super) async fn run_unkeyed(&self, job: &mut Job) -> Outcome {
        if job.forwarded {
            return self.run_forwarded(job).await;
        }
        let Some(first) = self.chooser.choose(&self.views.current(), None) else {
            return Err(self.no_instance());
        };
        let tried = first.member;
        let outcome = self.run_hedged(job, first).await;
        if !Self::allows_retry(job, &outcome, true) {
            return outcome;
        }
        let Some(second) = self.chooser.choose(&self.views.current(), Some(tried)) else {
            return outcome;
        };
        if !self.spend_retry(second.member) {
            return outcome;
        }
        self.run_turn(job, second).await
    }

    pub(super) async fn run_turn(&self, job: &mut Job, turn: Turn<'_>) -> Outcome {
        let start = Instant::now();
        let outcome = self.run_at(job, turn.member).await;
        turn.end(ending(&outcome, start));
        outcome
    }

    pub(super) async fn run_at(
        &self,
        job: &mut Job,
        member: BootId,
    ) -> Result<Response<OutgoingBody>, RequestError> {
        if member == self.views.current().serving.me {
            return self.run_here(job, None).await;
        }
        self.forward(job, member).await
    }

    /// Runs a forwarded request here, unless this instance has been taken out of service.
    async fn run_forwarded(&self, job: &mut Job) -> Outcome {
        let view = self.views.current();
        let me = view.serving.me;
        let own = view.serving.record.members.get(&me);
        if own.is_some_and(|member| !takes_work(&view, me, member)) {
            return Err(self.no_instance());
        }
        self.run_here(job, None).await
    }

    fn no_instance(&self) -> RequestError {
        RequestError::NoInstance(self.settings.service.clone())
    }
}
