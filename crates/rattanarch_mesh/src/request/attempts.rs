//! The attempts of one request, and the rules for retries.

use std::rc::Rc;
use std::time::Duration;

use rattanarch_dissemination::MAX_RECORD_WAIT;
use rattanarch_routing::RetryKind;
use rattanarch_routing::Rule;

use crate::control;
use crate::request::Call;
use crate::request::Decision;
use crate::request::Failure;
use crate::request::GiveUp;
use crate::request::Outbound;
use crate::request::Outcome;
use crate::request::Reason;
use crate::request::Refusal;
use crate::request::RequestTrace;
use crate::request::forward::ForwardedAttempt;
use crate::request::forward::forward;
use crate::request::pending_attempts::SuspectFlag;
use crate::request::progress::NextAttempt;
use crate::request::progress::Progress;
use crate::request::target;
use crate::request::target::Target;
use crate::upstream;

/// Times that a request may reach upstreams that refuse it, unless the route allows more attempts:
/// such an upstream does not run the request, so that this does not count as an attempt.
const MAX_UPSTREAMS_REACHED: u32 = 3;

/// Number of refusals by instances after which the caller is refused: a further instance would have
/// no newer information.
const MAX_REFUSALS: u32 = 3;

/// Part of the time to its objective that a refused request may wait for the record that names the next owner of its key;
/// the rest has to suffice for the next attempt.
const RECORD_WAIT_DIVISOR: u32 = 2;

/// Interval at which the retry share is checked again for a parallel attempt: requests that arrive in
/// the meantime add to the share.
const SHARE_INTERVAL: Duration = Duration::from_millis(250);

/// Runs the attempts of one request.
pub(crate) struct Attempts<'a> {
    pub(crate) outbound: &'a Outbound,
    pub(crate) call: &'a Rc<Call>,
    pub(crate) rule: &'a Rule,
    pub(crate) trace: &'a RequestTrace,
}

impl Attempts<'_> {
    /// Sends the request until it has a final response, or no further attempt is allowed.
    pub(crate) async fn run(&self) -> Outcome {
        let mut progress = Progress::new(self.call);
        // A nested call of a retried run counts as a retry once, however often it is sent itself.
        if progress.is_retry {
            self.outbound.shares.count_retry(&self.call.service);
        } else {
            self.outbound.shares.count_request(&self.call.service);
        }
        loop {
            let changed = self.outbound.shared.state_changed.notified();
            if let Some(outcome) = self.start(&mut progress).await {
                return outcome;
            }
            let ended = tokio::select! {
                biased;
                ended = progress.pending.next() => ended,
                () = changed, if progress.next == NextAttempt::Parallel => continue,
                () = tokio::time::sleep(SHARE_INTERVAL),
                    if progress.next == NextAttempt::ParallelAfterShare => None,
            };
            let Some((target, outcome)) = ended else {
                progress.next = NextAttempt::Parallel;
                continue;
            };
            if let Some(outcome) = self.handle_end(&mut progress, target, outcome).await {
                return outcome;
            }
        }
    }

    /// Starts the next attempt if one is due; returns the request's outcome if none can follow.
    async fn start<'s>(&'s self, progress: &mut Progress<'s>) -> Option<Outcome> {
        match progress.next {
            NextAttempt::Wait | NextAttempt::ParallelAfterShare => None,
            NextAttempt::Now => self.start_next(progress).await,
            NextAttempt::Parallel => self.start_parallel(progress),
        }
    }

    /// Starts an attempt at once; returns the request's outcome if there is neither a target nor a
    /// pending attempt.
    async fn start_next<'s>(&'s self, progress: &mut Progress<'s>) -> Option<Outcome> {
        loop {
            match target::find(&self.outbound.shared, self.call, &progress.tried) {
                Ok(target) if progress.pending.has(target.address) => {
                    progress.next = NextAttempt::Wait;
                    return None;
                }
                Ok(target) => {
                    self.send(progress, target);
                    return None;
                }
                Err(refusal)
                    if progress.attempts == 0 && self.wait_for_owner(refusal.reason).await => {}
                Err(refusal) => {
                    self.trace_unsent(&refusal);
                    progress.next = NextAttempt::Wait;
                    return progress
                        .pending
                        .is_empty()
                        .then(|| progress.outcome_without_target(refusal));
                }
            }
        }
    }

    /// Starts an attempt in parallel to one whose peer may be gone, if there is another target by now.
    fn start_parallel<'s>(&'s self, progress: &mut Progress<'s>) -> Option<Outcome> {
        let found = target::find(&self.outbound.shared, self.call, &progress.tried);
        let target = found.ok().filter(|target| !progress.pending.has(target.address))?;
        let may_have_run = progress.possible_runs();
        match self.check_rerun(may_have_run) {
            Ok(()) => {
                self.trace.add(Decision::Retried { may_have_run });
                self.send(progress, target);
                None
            }
            Err(GiveUp::Share) if self.call.key.is_none() => {
                progress.next = NextAttempt::ParallelAfterShare;
                None
            }
            Err(why) => {
                self.trace_given_up(why, may_have_run);
                progress.next = NextAttempt::Wait;
                // A key gets its next owner only after the lease of the previous one, and all that ran under
                // it, has ended: the pending attempt will not be answered.
                let lost = self.call.key.is_some();
                lost.then(|| progress.final_outcome(Outcome::Failed(Failure::Silent)))
            }
        }
    }

    fn send<'s>(&'s self, progress: &mut Progress<'s>, target: Target) {
        self.call.retry.set(progress.is_retry || progress.possible_runs() > 0);
        progress.attempts += 1;
        progress.next = NextAttempt::Wait;
        progress.exclude(target);
        self.trace_sent(target, progress.attempts);
        let suspect = SuspectFlag::default();
        progress.pending.start(target, Rc::clone(&suspect), self.exchange(target, suspect));
    }

    async fn exchange(&self, target: Target, suspect: SuspectFlag) -> Outcome {
        let shared = &self.outbound.shared;
        if target.own {
            return upstream::run(shared, self.call, self.trace).await;
        }
        let peer = shared.peers.get(target.address);
        forward(
            shared,
            &peer,
            ForwardedAttempt { call: self.call, trace: self.trace, target, suspect },
        )
        .await
    }

    /// Handles the end of an attempt; returns the request's outcome if it is decided.
    async fn handle_end(
        &self,
        progress: &mut Progress<'_>,
        target: Target,
        outcome: Outcome,
    ) -> Option<Outcome> {
        self.trace_end(target, &outcome);
        if outcome.is_final_response() {
            return Some(outcome);
        }
        let allowed = self.check_retry(progress, target, &outcome).await;
        let outcome = progress.final_outcome(outcome);
        match allowed {
            Ok(()) => {
                self.trace.add(Decision::Retried { may_have_run: progress.possible_runs() });
                progress.next = NextAttempt::Now;
            }
            Err(why) => {
                self.trace_given_up(why, progress.possible_runs());
                if progress.pending.is_empty() {
                    return Some(outcome);
                }
                if why == GiveUp::Owner {
                    // The record that names the next owner may arrive a moment later.
                    progress.next = NextAttempt::Parallel;
                } else if self.call.key.is_some() && progress.pending.all_precede(target.version) {
                    // This attempt went to the next owner. What ran at the previous one has ended with its
                    // lease, so the pending attempts will not be answered.
                    return Some(outcome.or_earlier(Some(Outcome::Failed(Failure::Silent))));
                }
            }
        }
        progress.earlier = Some(outcome);
        None
    }

    /// Checks whether another attempt may follow one that ended with `outcome`.
    async fn check_retry(
        &self,
        progress: &mut Progress<'_>,
        target: Target,
        outcome: &Outcome,
    ) -> Result<(), GiveUp> {
        match outcome {
            Outcome::Answered(_) | Outcome::Failed(_) => {
                progress.reached += 1;
                self.check_rerun(progress.possible_runs())
            }
            Outcome::Refused(refusal) => {
                progress.refusals += 1;
                progress.reached += u32::from(refusal.by_upstream);
                if progress.refusals >= MAX_REFUSALS {
                    return Err(GiveUp::Attempts);
                }
                self.check_move(target, refusal, progress.possible_runs()).await
            }
        }
    }

    /// Requests a newer record if the known one names no owner or instance, and waits for one that does;
    /// returns whether it came in time.
    async fn wait_for_owner(&self, reason: Reason) -> bool {
        if !reason.may_end_with_newer_record() {
            return false;
        }
        let timeout = control::refresh_records(&self.outbound.shared, &self.call.service);
        self.wait_for_target(timeout, |_| true).await
    }

    /// Waits for at most `timeout` until the known records name a target that `accept` accepts; returns
    /// whether they do.
    async fn wait_for_target(&self, timeout: Duration, accept: impl Fn(Target) -> bool) -> bool {
        let shared = &self.outbound.shared;
        let end = tokio::time::Instant::now() + timeout;
        loop {
            let changed = shared.state_changed.notified();
            if target::find(shared, self.call, &[]).is_ok_and(&accept) {
                return true;
            }
            if tokio::time::timeout_at(end, changed).await.is_err() {
                return false;
            }
        }
    }

    fn trace_given_up(&self, why: GiveUp, may_have_run: u32) {
        let left = self.call.deadline.saturating_sub(self.outbound.shared.now());
        self.trace.add(Decision::GivenUp { why, may_have_run, left });
    }

    fn trace_unsent(&self, refusal: &Refusal) {
        let Refusal { reason, retry_after, .. } = *refusal;
        let service = self.call.service.clone();
        let knowledge = self.outbound.shared.knowledge.borrow();
        let version = knowledge.record(&service).map(|record| record.version).unwrap_or_default();
        self.trace.add(Decision::Unsent { reason, retry_after, service, version });
    }

    fn trace_sent(&self, target: Target, number: u32) {
        let Target { address, version, .. } = target;
        let service = self.call.service.clone();
        self.trace.add(Decision::Sent { service, address, version, number });
    }

    fn trace_end(&self, target: Target, outcome: &Outcome) {
        self.trace.add(Decision::AttemptEnded { address: target.address, result: outcome.into() });
        let service = &self.call.service;
        if let Outcome::Refused(Refusal { reason: Reason::OtherService, .. }) = outcome {
            control::mark_ended(&self.outbound.shared, service, target.member);
        }
    }

    /// Checks whether a request that may have run may be sent again, and takes the retry from the share.
    fn check_rerun(&self, may_have_run: u32) -> Result<(), GiveUp> {
        if !self.call.idempotent {
            return Err(GiveUp::NotRepeatable);
        }
        if may_have_run >= self.rule.attempts {
            return Err(GiveUp::Attempts);
        }
        self.check_time()?;
        self.spend_share(RetryKind::MayHaveRun)
    }

    fn spend_share(&self, kind: RetryKind) -> Result<(), GiveUp> {
        let granted = self.outbound.shares.try_spend(&self.call.service, kind);
        granted.then_some(()).ok_or(GiveUp::Share)
    }

    /// Checks whether enough time is left for another attempt: a quarter of the target latency.
    fn check_time(&self) -> Result<(), GiveUp> {
        let left = self.call.deadline.saturating_sub(self.outbound.shared.now());
        (left > self.rule.target_latency / 4).then_some(()).ok_or(GiveUp::NoTime)
    }

    /// Checks whether a refused request may go to another instance.
    async fn check_move(
        &self,
        target: Target,
        refusal: &Refusal,
        may_have_run: u32,
    ) -> Result<(), GiveUp> {
        self.check_time()?;
        if !refusal.reason.allows_other_instance() {
            return Err(GiveUp::Elsewhere);
        }
        if may_have_run > 0 {
            if may_have_run >= self.rule.attempts.max(MAX_UPSTREAMS_REACHED) {
                return Err(GiveUp::Attempts);
            }
            self.spend_share(RetryKind::Refused)?;
        }
        match refusal.reason {
            _ if self.call.key.is_none() => Ok(()),
            Reason::NotOwner => self.wait_for_new_owner(target).await,
            // An upstream that refuses only some requests may accept the next one.
            Reason::UpstreamRefused => Ok(()),
            // The upstream had not applied its grant yet. Its daemon has the next attempt wait for the next heartbeat.
            Reason::NoGrant if refusal.by_upstream => Ok(()),
            _ => Err(GiveUp::Elsewhere),
        }
    }

    /// Waits for a record that names another owner than `target`, which itself knows a newer record.
    async fn wait_for_new_owner(&self, target: Target) -> Result<(), GiveUp> {
        let shared = &self.outbound.shared;
        if !target.own {
            control::schedule_record_fetch(shared, target.address);
        }
        let is_new_owner =
            |found: Target| found.version > target.version && found.address != target.address;
        let holds = shared.settings.cost_based_moves;
        let left = self.call.objective.saturating_sub(shared.now());
        let left = if holds { left } else { Duration::ZERO };
        let deadline = self.call.deadline.saturating_sub(shared.now());
        let timeout = MAX_RECORD_WAIT.max(left / RECORD_WAIT_DIVISOR).min(deadline);
        self.wait_for_target(timeout, is_new_owner).await.then_some(()).ok_or(GiveUp::Owner)
    }
}
