//! A second attempt beside one that lasts too long.

use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use rattanarch_admission::AttemptOutcome;
use rattanarch_admission::HedgeBudget;
use rattanarch_types::Verdict;

use crate::request::RequestHandler;
use crate::request::call::Job;
use crate::request::member_selector::Turn;
use crate::request::outcome;
use crate::request::outcome::Outcome;
use crate::request::outcome::ending;

impl RequestHandler {
    /// Runs the request at a member; if it is idempotent and lasts longer than most, also at
    /// another, whichever answers first. The other attempt is cancelled.
    pub(super) async fn run_hedged(&self, job: &mut Job, first: Turn<'_>) -> Outcome {
        let Some(mut copy) = job.duplicate().filter(Job::is_idempotent) else {
            return self.run_turn(job, first).await;
        };
        let start = Instant::now();
        let delay = self.with_hedges(|hedges| {
            hedges.deposit();
            hedges.delay()
        });
        let mut running = std::pin::pin!(self.run_at(job, first.member));
        let outcome = tokio::time::timeout(delay, &mut running).await;
        if let Ok(outcome) = outcome {
            self.note_time(start.elapsed());
            first.end(ending(&outcome, start));
            return outcome;
        }
        let Some(second) = self.choose_hedge(&first) else {
            let outcome = running.await;
            self.note_time(start.elapsed());
            first.end(ending(&outcome, start));
            return outcome;
        };
        let mut hedge = std::pin::pin!(self.run_turn(&mut copy, second));
        tokio::select! {
            outcome = &mut running => {
                self.note_time(start.elapsed());
                first.end(ending(&outcome, start));
                if is_done(&outcome) { outcome } else { hedge.await }
            }
            outcome = &mut hedge => {
                // The least that the first attempt would have taken.
                self.note_time(start.elapsed());
                first.end(AttemptOutcome::Responded(start.elapsed()));
                if is_done(&outcome) { outcome } else { running.await }
            }
        }
    }

    /// Another member for a hedge, if the budget has one.
    fn choose_hedge(&self, first: &Turn<'_>) -> Option<Turn<'_>> {
        let second = self.chooser.choose(&self.views.current(), Some(first.member))?;
        let elsewhere = second.member != first.member;
        (elsewhere && self.with_hedges(HedgeBudget::try_withdraw)).then_some(second)
    }

    fn note_time(&self, time: Duration) {
        self.with_hedges(|hedges| hedges.observe(time));
    }

    fn with_hedges<T>(&self, act: impl FnOnce(&mut HedgeBudget) -> T) -> T {
        act(&mut self.hedges.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

fn is_done(outcome: &Outcome) -> bool {
    outcome::verdict(outcome) == Verdict::Done
}
