//! The tries of one request.

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
use crate::request::forward::Forward;
use crate::request::forward::forward;
use crate::request::open_tries::Doubt;
use crate::request::progress::Next;
use crate::request::progress::Progress;
use crate::request::target;
use crate::request::target::Target;
use crate::upstream;

/// Times that a request may reach upstreams that refuse it. Those do not run it, and so do not count
/// as attempts.
const MAX_ARRIVALS: u32 = 3;

/// Refusals by instances after which a request is refused: a third one is no better informed.
const MAX_REFUSALS: u32 = 3;

/// Time until the share of repeats is asked again for a try beside one whose peer may be gone: some requests have
/// earned more of it by then.
const SHARE_PAUSE: Duration = Duration::from_millis(250);

/// The tries of one request.
pub(crate) struct Attempts<'a> {
    pub(crate) outbound: &'a Outbound,
    pub(crate) call: &'a Rc<Call>,
    pub(crate) rule: &'a Rule,
    pub(crate) trace: &'a RequestTrace,
}

impl Attempts<'_> {
    /// Sends the request until it is answered, or nothing speaks for another try.
    pub(crate) async fn run(&self) -> Outcome {
        let mut progress = Progress::new(self.call);
        // A call of a repeated run counts as a repeat, however often it is sent itself.
        if progress.repeated {
            self.outbound.shares.charge(&self.call.service);
        } else {
            self.outbound.shares.earn(&self.call.service);
        }
        loop {
            let changed = self.outbound.shared.state_changed.notified();
            if let Some(outcome) = self.begin(&mut progress).await {
                return outcome;
            }
            let ended = tokio::select! {
                biased;
                ended = progress.open.next() => ended,
                () = changed, if progress.next == Next::Beside => continue,
                () = tokio::time::sleep(SHARE_PAUSE), if progress.next == Next::Later => None,
            };
            let Some((target, outcome)) = ended else {
                progress.next = Next::Beside;
                continue;
            };
            if let Some(outcome) = self.take(&mut progress, target, outcome).await {
                return outcome;
            }
        }
    }

    /// Begins what is to begin next; returns the request's outcome if nothing can.
    async fn begin<'s>(&'s self, progress: &mut Progress<'s>) -> Option<Outcome> {
        match progress.next {
            Next::Wait | Next::Later => None,
            Next::Now => self.begin_now(progress).await,
            Next::Beside => self.begin_beside(progress),
        }
    }

    async fn begin_now<'s>(&'s self, progress: &mut Progress<'s>) -> Option<Outcome> {
        loop {
            match target::find(&self.outbound.shared, self.call, &progress.tried) {
                Ok(target) if progress.open.has(target.address) => {
                    progress.next = Next::Wait;
                    return None;
                }
                Ok(target) => {
                    self.send(progress, target);
                    return None;
                }
                Err(refusal) if progress.tries == 0 && self.owner_learned(refusal.reason).await => {
                }
                Err(refusal) => {
                    self.note_unsent(&refusal);
                    progress.next = Next::Wait;
                    return progress.open.is_empty().then(|| progress.end_unsent(refusal));
                }
            }
        }
    }

    /// Begins a try beside one whose peer may be gone, if there is a target by now.
    fn begin_beside<'s>(&'s self, progress: &mut Progress<'s>) -> Option<Outcome> {
        let found = target::find(&self.outbound.shared, self.call, &progress.tried);
        let target = found.ok().filter(|target| !progress.open.has(target.address))?;
        let arrivals = progress.may_have_run();
        match self.may_repeat(arrivals) {
            Ok(()) => {
                self.trace.add(Decision::Retried { arrivals });
                self.send(progress, target);
                None
            }
            Err(GiveUp::Share) if self.call.key.is_none() => {
                progress.next = Next::Later;
                None
            }
            Err(why) => {
                self.note_given_up(why, arrivals);
                progress.next = Next::Wait;
                // A key has its next owner only after the lease of the last one, and what ran under it, has ended.
                let lost = self.call.key.is_some();
                lost.then(|| progress.end(Outcome::Failed(Failure::Silent)))
            }
        }
    }

    fn send<'s>(&'s self, progress: &mut Progress<'s>, target: Target) {
        self.call.retry.set(progress.repeated || progress.may_have_run() > 0);
        progress.tries += 1;
        progress.next = Next::Wait;
        progress.note_tried(target);
        self.note_sent(target, progress.tries);
        let doubt = Doubt::default();
        progress.open.begin(target, Rc::clone(&doubt), self.exchange(target, doubt));
    }

    async fn exchange(&self, target: Target, doubt: Doubt) -> Outcome {
        let shared = &self.outbound.shared;
        if target.own {
            return upstream::run(shared, self.call, self.trace).await;
        }
        let peer = shared.peers.get(target.address);
        forward(shared, &peer, Forward { call: self.call, trace: self.trace, target, doubt }).await
    }

    /// Takes what a try has come to; returns the request's outcome if nothing more is to come.
    async fn take(
        &self,
        progress: &mut Progress<'_>,
        target: Target,
        outcome: Outcome,
    ) -> Option<Outcome> {
        self.note(target, &outcome);
        if outcome.is_answer() {
            return Some(outcome);
        }
        let may = self.may_go_on(progress, target, &outcome).await;
        let outcome = progress.end(outcome);
        match may {
            Ok(()) => {
                self.trace.add(Decision::Retried { arrivals: progress.may_have_run() });
                progress.next = Next::Now;
            }
            Err(why) => {
                self.note_given_up(why, progress.may_have_run());
                if progress.open.is_empty() {
                    return Some(outcome);
                }
                if why == GiveUp::Owner {
                    // The next owner may learn of it a moment later.
                    progress.next = Next::Beside;
                } else if self.call.key.is_some() && progress.open.precede(target.version) {
                    // It was the next owner's, and what ran at the last one has ended with its lease.
                    return Some(outcome.or_earlier(Some(Outcome::Failed(Failure::Silent))));
                }
            }
        }
        progress.kept = Some(outcome);
        None
    }

    /// Whether another try may follow one that came to `outcome`.
    async fn may_go_on(
        &self,
        progress: &mut Progress<'_>,
        target: Target,
        outcome: &Outcome,
    ) -> Result<(), GiveUp> {
        match outcome {
            Outcome::Answered(_) | Outcome::Failed(_) => {
                progress.arrivals += 1;
                self.may_repeat(progress.may_have_run())
            }
            Outcome::Refused(refusal) => {
                progress.refusals += 1;
                progress.arrivals += u32::from(refusal.by_upstream);
                if progress.refusals >= MAX_REFUSALS {
                    return Err(GiveUp::Attempts);
                }
                self.may_move(target, refusal, progress.may_have_run()).await
            }
        }
    }

    /// Asks for a newer record where the known one names no owner, and waits a moment for one that does.
    async fn owner_learned(&self, reason: Reason) -> bool {
        if !matches!(reason, Reason::Unowned | Reason::NoInstance) {
            return false;
        }
        let patience = control::refresh_records(&self.outbound.shared, &self.call.service);
        self.finds(patience, |_| true).await
    }

    /// Waits for at most `patience` until the known records name a target that is `fit`; returns whether they do.
    async fn finds(&self, patience: Duration, fit: impl Fn(Target) -> bool) -> bool {
        let shared = &self.outbound.shared;
        let end = tokio::time::Instant::now() + patience;
        loop {
            let changed = shared.state_changed.notified();
            if target::find(shared, self.call, &[]).is_ok_and(&fit) {
                return true;
            }
            if tokio::time::timeout_at(end, changed).await.is_err() {
                return false;
            }
        }
    }

    fn note_given_up(&self, why: GiveUp, arrivals: u32) {
        let left = self.call.deadline.saturating_sub(self.outbound.shared.now());
        self.trace.add(Decision::GivenUp { why, arrivals, left });
    }

    fn note_unsent(&self, refusal: &Refusal) {
        let Refusal { reason, retry_after, .. } = *refusal;
        let service = self.call.service.clone();
        let knowledge = self.outbound.shared.knowledge.borrow();
        let version = knowledge.record(&service).map(|record| record.version).unwrap_or_default();
        self.trace.add(Decision::Unsent { reason, retry_after, service, version });
    }

    fn note_sent(&self, target: Target, number: u32) {
        let Target { address, version, .. } = target;
        let service = self.call.service.clone();
        self.trace.add(Decision::Sent { service, address, version, number });
    }

    fn note(&self, target: Target, outcome: &Outcome) {
        self.trace.add(Decision::AttemptEnded { address: target.address, told: outcome.into() });
        let service = &self.call.service;
        if let Outcome::Refused(Refusal { reason: Reason::OtherService, .. }) = outcome {
            control::mark_ended(&self.outbound.shared, service, target.member);
        }
    }

    /// Whether a request that may have run is sent once more.
    fn may_repeat(&self, arrivals: u32) -> Result<(), GiveUp> {
        if !self.call.idempotent {
            return Err(GiveUp::NotRepeatable);
        }
        if arrivals >= self.rule.attempts {
            return Err(GiveUp::Attempts);
        }
        self.check_time()?;
        self.spend(RetryKind::MayHaveRun)
    }

    fn spend(&self, kind: RetryKind) -> Result<(), GiveUp> {
        let granted = self.outbound.shares.spend(&self.call.service, kind);
        granted.then_some(()).ok_or(GiveUp::Share)
    }

    /// Whether enough time is left for another try.
    fn check_time(&self) -> Result<(), GiveUp> {
        let left = self.call.deadline.saturating_sub(self.outbound.shared.now());
        (left > self.rule.target_latency / 4).then_some(()).ok_or(GiveUp::NoTime)
    }

    /// Whether a request that was refused goes to another instance.
    async fn may_move(
        &self,
        target: Target,
        refusal: &Refusal,
        arrivals: u32,
    ) -> Result<(), GiveUp> {
        self.check_time()?;
        if !refusal.reason.may_go_elsewhere() {
            return Err(GiveUp::Elsewhere);
        }
        if arrivals > 0 {
            if arrivals >= self.rule.attempts.max(MAX_ARRIVALS) {
                return Err(GiveUp::Attempts);
            }
            self.spend(RetryKind::Refused)?;
        }
        match refusal.reason {
            _ if self.call.key.is_none() => Ok(()),
            Reason::NotOwner => self.newer_record(target).await,
            // An upstream that refuses a part of what it gets may take the next one.
            Reason::UpstreamRefused => Ok(()),
            _ => Err(GiveUp::Elsewhere),
        }
    }

    /// Waits for a record that names another owner than `target`, which knows a newer one itself.
    async fn newer_record(&self, target: Target) -> Result<(), GiveUp> {
        let shared = &self.outbound.shared;
        if !target.own {
            control::schedule_record_fetch(shared, target.address);
        }
        let moved =
            |found: Target| found.version > target.version && found.address != target.address;
        self.finds(MAX_RECORD_WAIT, moved).await.then_some(()).ok_or(GiveUp::Owner)
    }
}
