//! Forwarding of requests to other members.

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
use crate::request::call::Call;
use crate::request::exchange::Exchange;
use crate::request::exchange::RequestGuards;
use crate::request::headers;
use crate::request::misdirected;
use crate::request::outcome;
use crate::request::outcome::Outcome;
use crate::request::response;

impl RequestHandler {
    /// Runs the request at the owner of its key, and retries once if that is safe and useful.
    pub(super) async fn run_keyed(&self, call: &mut Call, hash: KeyHash) -> Outcome {
        let tried = self.views.current().serving.record.owner_of(hash);
        let outcome = self.run_at_owner(call, hash).await;
        let next = if misdirected::is_misdirected(&outcome) && call.payload.is_buffered() {
            let hint = misdirected::owner_hint(&outcome);
            self.next_owner(call.deadline, hash, tried, hint).await
        } else {
            self.views.current().serving.record.owner_of(hash)
        };
        let Some(next) = next else { return outcome };
        let moved = Some(next) != tried;
        if !Self::allows_retry(call, &outcome, moved) || !self.withdraw_retry(next) {
            return outcome;
        }
        if self.views.current().serving.record.owner_of(hash) == tried && moved {
            // This owner is known only from the peer's hint.
            return self.forward(call, next).await;
        }
        self.run_at_owner(call, hash).await
    }

    async fn run_at_owner(&self, call: &mut Call, hash: KeyHash) -> Outcome {
        let owner = match self.run_local(call, Some(hash)).await {
            Err(RequestError::Refused { refusal: Refusal::Elsewhere(owner), .. }) => owner,
            outcome => return outcome,
        };
        if call.forwarded {
            let refusal = Refusal::Elsewhere(owner);
            return Err(RequestError::Refused { refusal, forwarded: true });
        }
        self.forward(call, owner).await
    }

    /// Whether a retry is safe and useful. `moved` is set if it would go to another member than the
    /// first attempt.
    pub(super) fn allows_retry(call: &Call, outcome: &Outcome, moved: bool) -> bool {
        let verdict = outcome::verdict(outcome);
        if !verdict.may_retry(call.is_idempotent()) || !call.payload.is_buffered() {
            return false;
        }
        let useful = match (verdict, outcome) {
            // The fence was replaced in the meantime.
            (Verdict::NotRun, Err(RequestError::UpstreamRefused { status: 412, .. })) => true,
            (Verdict::NotRun, _) => moved,
            (_, Err(RequestError::ConnectionLost(_) | RequestError::ResponseMismatch)) => true,
            _ => false,
        };
        useful && !call.time_left().is_zero()
    }

    /// Withdraws a retry at `member` from the budgets of the service and of the member; returns
    /// whether both allow it.
    pub(super) fn withdraw_retry(&self, member: BootId) -> bool {
        let view = self.views.current();
        let record = &view.serving.record;
        let destination = match record.members.get(&member) {
            Some(state) if member != view.serving.me => self.peers.get(state.caller, record),
            _ => Arc::clone(&self.upstream),
        };
        let mut service = self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner);
        let mut upstream = destination.retry_budget.lock().unwrap_or_else(PoisonError::into_inner);
        RetryBudget::try_withdraw(&mut service, &mut upstream)
    }

    /// Forwards the request to `member`.
    pub(super) async fn forward(&self, call: &mut Call, member: BootId) -> Outcome {
        let view = self.views.current();
        let record = &view.serving.record;
        let Some(state) = record.members.get(&member) else {
            let refusal = Refusal::Unowned;
            return Err(RequestError::Refused { refusal, forwarded: false });
        };
        let address = state.caller;
        let peer = self.peers.get(address, record);
        let id = self.next_id();
        let Some(request) = call.for_peer(&peer.pool, &id, view.serving.me) else {
            return Err(RequestError::BodyMalformed);
        };
        peer.record_request();
        let exchange = Exchange {
            pool: Arc::clone(&peer.pool),
            id,
            deadline: call.deadline,
            idempotent: call.is_idempotent(),
            body_timeout: self.settings.body_timeout,
            unresolved_timeout: self.settings.unresolved_timeout,
            control: None,
            checks_fence: false,
            guards: RequestGuards::default(),
        };
        let mut head = exchange.run(request).await?;
        if response::verdict(&head).is_none() {
            return Err(RequestError::ResponseMismatch);
        }
        let is_owner = head.status() != StatusCode::MISDIRECTED_REQUEST;
        if is_owner && !head.headers().contains_key(headers::OWNER) {
            let owner = headers::value(&address.to_string());
            head.headers_mut().insert(headers::OWNER, owner);
        }
        Ok(head)
    }
}
