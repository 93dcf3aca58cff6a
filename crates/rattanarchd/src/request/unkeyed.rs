//! Unkeyed requests, which any eligible member may run.

use std::time::Instant;

use hyper::Response;
use rattanarch_types::BootId;

use crate::request::OutgoingBody;
use crate::request::RequestError;
use crate::request::RequestHandler;
use crate::request::call::Call;
use crate::request::member_selector::Attempt;
use crate::request::member_selector::is_eligible;
use crate::request::outcome::Outcome;
use crate::request::outcome::attempt_outcome;

impl RequestHandler {
    /// Runs the request at the better of two random members, and retries once at another if that is
    /// safe and useful.
    pub(super) async fn run_unkeyed(&self, call: &mut Call) -> Outcome {
        if call.forwarded {
            return self.run_forwarded(call).await;
        }
        let Some(first) = self.selector.choose(&self.views.current(), None) else {
            return Err(self.no_instance());
        };
        let first_member = first.member_id;
        let outcome = self.run_hedged(call, first).await;
        if !Self::allows_retry(call, &outcome, true) {
            return outcome;
        }
        let Some(second) = self.selector.choose(&self.views.current(), Some(first_member)) else {
            return outcome;
        };
        if !self.withdraw_retry(second.member_id) {
            return outcome;
        }
        self.run_attempt(call, second).await
    }

    pub(super) async fn run_attempt(&self, call: &mut Call, attempt: Attempt<'_>) -> Outcome {
        let start = Instant::now();
        let outcome = self.run_at(call, attempt.member_id).await;
        attempt.finish(attempt_outcome(&outcome, start));
        outcome
    }

    pub(super) async fn run_at(
        &self,
        call: &mut Call,
        member: BootId,
    ) -> Result<Response<OutgoingBody>, RequestError> {
        if member == self.views.current().serving.me {
            return self.run_local(call, None).await;
        }
        self.forward(call, member).await
    }

    /// Runs a forwarded request at the local upstream, unless this member is not eligible.
    async fn run_forwarded(&self, call: &mut Call) -> Outcome {
        let view = self.views.current();
        let me = view.serving.me;
        let own = view.serving.record.members.get(&me);
        if own.is_some_and(|member| !is_eligible(&view, me, member)) {
            return Err(self.no_instance());
        }
        self.run_local(call, None).await
    }

    pub(super) fn no_instance(&self) -> RequestError {
        RequestError::NoInstance(self.settings.service.clone())
    }
}
