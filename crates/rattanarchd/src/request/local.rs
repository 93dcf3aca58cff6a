//! Requests that run at the upstream beside this daemon.

use std::sync::Arc;
use std::time::Instant;

use hyper::Response;
use hyper::StatusCode;
use rattanarch_admission::AttemptOutcome;
use rattanarch_types::Fence;
use rattanarch_types::KeyHash;
use rattanarch_types::Verdict;
use rattanarch_types::slice_of;

use crate::request::OutgoingBody;
use crate::request::RequestError;
use crate::request::RequestHandler;
use crate::request::call::Call;
use crate::request::exchange::Exchange;
use crate::request::exchange::RequestGuards;
use crate::request::headers;
use crate::request::outcome::Outcome;
use crate::request::repeat_cache::BeginResult;
use crate::request::repeat_cache::Claim;
use crate::request::response;

impl RequestHandler {
    /// Runs the request at the local upstream, unless it repeats an earlier one by its idempotency
    /// key.
    pub(super) async fn run_local(&self, call: &mut Call, hash: Option<KeyHash>) -> Outcome {
        self.check_ownership(hash)?;
        let Some(operation) = call.operation() else {
            return self.run_once(call, hash, None).await;
        };
        match self.repeats.begin(operation)? {
            BeginResult::Repeated(response) => Ok(response),
            BeginResult::First(claim) => {
                let outcome = self.run_once(call, hash, Some(&claim)).await;
                claim.finish(outcome).await
            }
        }
    }

    async fn run_once(
        &self,
        call: &mut Call,
        hash: Option<KeyHash>,
        claim: Option<&Claim<'_>>,
    ) -> Outcome {
        let permit = self.admission.admit(call.priority, call.deadline).await?;
        let id = self.next_id();
        // Registered before the check: a release first publishes that the key is not served, and
        // then waits for the registered requests.
        let run = self.running.register(id.clone(), hash);
        let fence = self.check_ownership(hash)?;
        run.set_fence(fence);
        self.count_load(hash);
        let pool = Arc::clone(&self.upstream.pool);
        let Some(request) = call.for_upstream(&pool, &id, fence) else {
            return Err(RequestError::BodyMalformed);
        };
        self.upstream.record_request();
        let exchange = Exchange {
            pool,
            id,
            deadline: call.deadline,
            idempotent: call.is_idempotent(),
            body_timeout: self.settings.body_timeout,
            unresolved_timeout: self.settings.unresolved_timeout,
            control: Some(Arc::clone(&self.control)),
            checks_fence: self.settings.checks_fence,
            guards: RequestGuards { permit: Some(permit), run: Some(run) },
        };
        if let Some(claim) = claim {
            claim.mark_sent();
        }
        let start = Instant::now();
        let outcome = exchange.run(request).await;
        // Recorded before a refused response is dropped: that frees its slot, which must follow the
        // new limit.
        self.admission.record_outcome(upstream_outcome(&outcome, start));
        outcome.and_then(|head| self.check_response(head))
    }

    fn count_load(&self, hash: Option<KeyHash>) {
        let Some(hash) = hash else { return };
        let slices = self.views.current().serving.record.slice_count();
        self.load.count(slice_of(hash, slices), hash);
    }

    /// Checks that a request may start here now, and returns the fence to send with it.
    pub(super) fn check_ownership(
        &self,
        hash: Option<KeyHash>,
    ) -> Result<Option<Fence>, RequestError> {
        let view = self.views.current();
        let now = self.clock.now();
        let grant = view.grant.filter(|grant| now < grant.until);
        let Some(hash) = hash else { return Ok(grant.map(|grant| grant.fence)) };
        let checked = view.serving.check(now, hash);
        checked.map_err(|refusal| RequestError::Refused { refusal, forwarded: false })?;
        if !self.settings.checks_fence {
            return Ok(None);
        }
        let grant = grant.ok_or(RequestError::NoGrant)?;
        Ok(Some(grant.fence))
    }

    /// Converts a refusal by the upstream into an error, and sets the header fields of other
    /// responses.
    fn check_response(
        &self,
        mut head: Response<OutgoingBody>,
    ) -> Result<Response<OutgoingBody>, RequestError> {
        if response::verdict(&head) == Some(Verdict::NotRun) {
            let retry_after =
                headers::millis(head.headers(), &headers::RETRY_MS).and_then(Result::ok);
            let status = head.status().as_u16();
            return Err(RequestError::UpstreamRefused { status, retry_after });
        }
        let fields = head.headers_mut();
        headers::strip_own(fields);
        response::set_verdict(fields, Verdict::Done);
        let view = self.views.current();
        if let Some(member) = view.serving.record.members.get(&view.serving.me) {
            fields.insert(headers::OWNER, headers::value(&member.caller.to_string()));
        }
        Ok(head)
    }
}

/// Outcome of an attempt at the local upstream, started at `start`, for the concurrency limit.
fn upstream_outcome(outcome: &Outcome, start: Instant) -> AttemptOutcome {
    let Ok(head) = outcome else { return AttemptOutcome::Failed };
    let refused = response::verdict(head) == Some(Verdict::NotRun);
    if refused && head.status() == StatusCode::SERVICE_UNAVAILABLE {
        return AttemptOutcome::Refused;
    }
    // A refusal for a replaced fence or a passed deadline is no sign of overload.
    AttemptOutcome::Responded(start.elapsed())
}
