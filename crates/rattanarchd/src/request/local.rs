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
use crate::request::call::Job;
use crate::request::exchange::Exchange;
use crate::request::exchange::Hold;
use crate::request::headers;
use crate::request::outcome::Outcome;
use crate::request::repeat_cache::Begun;
use crate::request::repeat_cache::Claim;
use crate::request::response;

impl RequestHandler {
    /// Runs the request at the own upstream, unless it repeats one that ran.
    pub(super) async fn run_here(&self, job: &mut Job, hash: Option<KeyHash>) -> Outcome {
        self.check(hash)?;
        let Some(operation) = job.operation() else {
            return self.run_once(job, hash, None).await;
        };
        match self.repeats.begin(operation)? {
            Begun::Answered(answer) => Ok(answer),
            Begun::First(claim) => {
                let outcome = self.run_once(job, hash, Some(&claim)).await;
                claim.finish(outcome).await
            }
        }
    }

    async fn run_once(
        &self,
        job: &mut Job,
        hash: Option<KeyHash>,
        claim: Option<&Claim<'_>>,
    ) -> Outcome {
        let permit = self.admission.admit(job.priority, job.deadline).await?;
        let id = self.next_id();
        // Entered before the check: who gives up a key first publishes that and then looks here.
        let run = self.running.enter(id.clone(), hash);
        let fence = self.check(hash)?;
        run.set_fence(fence);
        self.note_load(hash);
        let pool = Arc::clone(&self.upstream.pool);
        let Some(request) = job.for_upstream(&pool, &id, fence) else {
            return Err(RequestError::BodyMalformed);
        };
        self.upstream.earn();
        let exchange = Exchange {
            pool,
            id,
            deadline: job.deadline,
            idempotent: job.is_idempotent(),
            body_timeout: self.settings.body_timeout,
            linger: self.settings.linger,
            control: Some(Arc::clone(&self.control)),
            checks_fence: self.settings.checks_fence,
            hold: Hold { permit: Some(permit), run: Some(run) },
        };
        if let Some(claim) = claim {
            claim.note_sent();
        }
        let start = Instant::now();
        let outcome = exchange.run(request).await;
        // Noted before a refused head is dropped, whose slot would go by the old limit.
        self.admission.note(ending(&outcome, start));
        outcome.and_then(|head| self.judge(head))
    }

    fn note_load(&self, hash: Option<KeyHash>) {
        let Some(hash) = hash else { return };
        let slices = self.views.current().serving.record.slice_count();
        self.load.note(slice_of(hash, slices), hash);
    }

    /// Whether a request may start here now, and the fence it carries.
    fn check(&self, hash: Option<KeyHash>) -> Result<Option<Fence>, RequestError> {
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

    /// Reads the upstream's own verdict.
    fn judge(
        &self,
        mut head: Response<OutgoingBody>,
    ) -> Result<Response<OutgoingBody>, RequestError> {
        if response::verdict(&head) == Some(Verdict::NotRun) {
            let retry = headers::millis(head.headers(), &headers::RETRY).and_then(Result::ok);
            let status = head.status().as_u16();
            return Err(RequestError::UpstreamRefused { status, retry });
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

/// What an attempt at the upstream that began at `start` tells of its load.
fn ending(outcome: &Outcome, start: Instant) -> AttemptOutcome {
    let Ok(head) = outcome else { return AttemptOutcome::Failed };
    let refused = response::verdict(head) == Some(Verdict::NotRun);
    if refused && head.status() == StatusCode::SERVICE_UNAVAILABLE {
        return AttemptOutcome::Refused;
    }
    // A refusal for a replaced fence or a passed deadline tells of no load.
    AttemptOutcome::Responded(start.elapsed())
}
