//! Hedging: a second attempt in parallel to a slow one.

use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use rattanarch_admission::AttemptOutcome;
use rattanarch_admission::HedgeBudget;
use rattanarch_types::Verdict;

use crate::request::RequestHandler;
use crate::request::call::Call;
use crate::request::member_selector::Attempt;
use crate::request::outcome;
use crate::request::outcome::Outcome;
use crate::request::outcome::attempt_outcome;

impl RequestHandler {
    /// Runs the request at a member. If it is idempotent and takes longer than most requests, also
    /// runs it at another member, uses the first response and cancels the other attempt.
    pub(super) async fn run_hedged(&self, call: &mut Call, first: Attempt<'_>) -> Outcome {
        let Some(mut copy) = call.duplicate().filter(Call::is_idempotent) else {
            return self.run_attempt(call, first).await;
        };
        let start = Instant::now();
        let delay = self.with_hedge_budget(|budget| {
            budget.deposit();
            budget.delay()
        });
        let mut running = std::pin::pin!(self.run_at(call, first.member_id));
        let outcome = tokio::time::timeout(delay, &mut running).await;
        if let Ok(outcome) = outcome {
            self.record_duration(start.elapsed());
            first.finish(attempt_outcome(&outcome, start));
            return outcome;
        }
        let Some(second) = self.choose_hedge(&first) else {
            let outcome = running.await;
            self.record_duration(start.elapsed());
            first.finish(attempt_outcome(&outcome, start));
            return outcome;
        };
        let mut hedge = std::pin::pin!(self.run_attempt(&mut copy, second));
        tokio::select! {
            outcome = &mut running => {
                self.record_duration(start.elapsed());
                first.finish(attempt_outcome(&outcome, start));
                if is_done(&outcome) { outcome } else { hedge.await }
            }
            outcome = &mut hedge => {
                // A lower bound for the duration of the first attempt.
                self.record_duration(start.elapsed());
                first.finish(AttemptOutcome::Responded(start.elapsed()));
                if is_done(&outcome) { outcome } else { running.await }
            }
        }
    }

    /// Starts an attempt at another member if there is one and the hedge budget allows it.
    fn choose_hedge(&self, first: &Attempt<'_>) -> Option<Attempt<'_>> {
        let second = self.selector.choose(&self.views.current(), Some(first.member_id))?;
        let elsewhere = second.member_id != first.member_id;
        (elsewhere && self.with_hedge_budget(HedgeBudget::try_withdraw)).then_some(second)
    }

    fn record_duration(&self, time: Duration) {
        self.with_hedge_budget(|budget| budget.observe(time));
    }

    fn with_hedge_budget<T>(&self, act: impl FnOnce(&mut HedgeBudget) -> T) -> T {
        act(&mut self.hedge_budget.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

fn is_done(outcome: &Outcome) -> bool {
    outcome::verdict(outcome) == Verdict::Done
}
