//! Requests that run at another member's upstream.

use std::sync::Arc;
use std::sync::PoisonError;

use hyper::StatusCode;
use rattanarch_admission::RetryBudget;
use rattanarch_ownership::Refusal;
use rattanarch_types::BootId;
use rattanarch_types::KeyHash;
use rattanarch_types::Verdict;

use crate::request::RequestError;
use crate::request::RequestHandler;
use crate::request::call::Job;
use crate::request::exchange::Exchange;
use crate::request::exchange::Hold;
use crate::request::headers;
use crate::request::misdirected;
use crate::request::outcome;
use crate::request::outcome::Outcome;
use crate::request::response;

impl RequestHandler {
    /// Runs the request at the owner of its key, once more if the first attempt allows it.
    pub(super) async fn run_keyed(&self, job: &mut Job, hash: KeyHash) -> Outcome {
        let tried = self.views.current().serving.record.owner_of(hash);
        let outcome = self.run_at_owner(job, hash).await;
        let next = if misdirected::is_misdirected(&outcome) && job.payload.is_whole() {
            let hint = misdirected::hint(&outcome);
            self.next_owner(job.deadline, hash, tried, hint).await
        } else {
            self.views.current().serving.record.owner_of(hash)
        };
        let Some(next) = next else { return outcome };
        let moved = Some(next) != tried;
        if !Self::allows_retry(job, &outcome, moved) || !self.spend_retry(next) {
            return outcome;
        }
        if self.views.current().serving.record.owner_of(hash) == tried && moved {
            // Only the peer's hint leads there.
            return self.forward(job, next).await;
        }
        self.run_at_owner(job, hash).await
    }

    async fn run_at_owner(&self, job: &mut Job, hash: KeyHash) -> Outcome {
        let owner = match self.run_here(job, Some(hash)).await {
            Err(RequestError::Refused { refusal: Refusal::Elsewhere(owner), .. }) => owner,
            outcome => return outcome,
        };
        if job.forwarded {
            let refusal = Refusal::Elsewhere(owner);
            return Err(RequestError::Refused { refusal, forwarded: true });
        }
        self.forward(job, owner).await
    }

    /// Whether a second attempt is safe and of use. `moved` says that it would go to another place
    /// than the first.
    pub(super) fn allows_retry(job: &Job, outcome: &Outcome, moved: bool) -> bool {
        let verdict = outcome::verdict(outcome);
        if !verdict.may_retry(job.is_idempotent()) || !job.payload.is_whole() {
            return false;
        }
        let of_use = match (verdict, outcome) {
            // The fence has just been replaced.
            (Verdict::NotRun, Err(RequestError::UpstreamRefused { status: 412, .. })) => true,
            (Verdict::NotRun, _) => moved,
            (_, Err(RequestError::Cut(_) | RequestError::Crossed)) => true,
            _ => false,
        };
        of_use && !job.left().is_zero()
    }

    /// Takes leave for a retry at `member` from the budgets of the service and of the member.
    pub(super) fn spend_retry(&self, member: BootId) -> bool {
        let view = self.views.current();
        let record = &view.serving.record;
        let peer = match record.members.get(&member) {
            Some(state) if member != view.serving.me => self.peers.get(state.caller, record),
            _ => Arc::clone(&self.upstream),
        };
        let mut service = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        let mut upstream = peer.budget.lock().unwrap_or_else(PoisonError::into_inner);
        RetryBudget::try_withdraw(&mut service, &mut upstream)
    }

    /// Sends the request on to `member`.
    pub(super) async fn forward(&self, job: &mut Job, member: BootId) -> Outcome {
        let view = self.views.current();
        let record = &view.serving.record;
        let Some(state) = record.members.get(&member) else {
            let refusal = Refusal::Unowned;
            return Err(RequestError::Refused { refusal, forwarded: false });
        };
        let address = state.caller;
        let peer = self.peers.get(address, record);
        let id = self.next_id();
        let Some(request) = job.for_peer(&peer.pool, &id, view.serving.me) else {
            return Err(RequestError::BodyMalformed);
        };
        peer.earn();
        let exchange = Exchange {
            pool: Arc::clone(&peer.pool),
            id,
            deadline: job.deadline,
            idempotent: job.is_idempotent(),
            body_timeout: self.settings.body_timeout,
            linger: self.settings.linger,
            control: None,
            checks_fence: false,
            hold: Hold::default(),
        };
        let mut head = exchange.run(request).await?;
        if response::verdict(&head).is_none() {
            return Err(RequestError::Crossed);
        }
        let is_owner = head.status() != StatusCode::MISDIRECTED_REQUEST;
        if is_owner && !head.headers().contains_key(headers::OWNER) {
            let owner = headers::value(&address.to_string());
            head.headers_mut().insert(headers::OWNER, owner);
        }
        Ok(head)
    }
}
