//! The tries of one request.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rattanarch_dissemination::RECORD_PATIENCE;
use rattanarch_routing::RepeatKind;
use rattanarch_routing::Rule;

use crate::control;
use crate::request::Call;
use crate::request::GiveUp;
use crate::request::Outbound;
use crate::request::Outcome;
use crate::request::Reason;
use crate::request::Refusal;
use crate::request::Step;
use crate::request::Trail;
use crate::request::forward::forward;
use crate::request::target;
use crate::request::target::Target;
use crate::upstream;

/// Times that a request may reach upstreams that refuse it. Those do not run it, and so do not count
/// as attempts.
const MAX_ARRIVALS: u32 = 3;

/// Refusals by instances after which a request is refused: a third one is no better informed.
const MAX_REFUSALS: usize = 3;

/// The tries of one request.
pub(crate) struct Attempts<'a> {
    pub(crate) outbound: &'a Outbound,
    pub(crate) call: &'a Rc<Call>,
    pub(crate) rule: &'a Rule,
    pub(crate) trail: &'a Trail,
}

impl Attempts<'_> {
    /// Sends the request until it is answered, or nothing speaks for another try.
    pub(crate) async fn run(&self) -> Outcome {
        let shared = &self.outbound.shared;
        // What earlier tries came to: a request that one of them may have run was not refused.
        let mut kept: Option<Outcome> = None;
        let mut tried: Vec<SocketAddr> = Vec::new();
        let mut arrivals = 0;
        let mut refusals = 0;
        let mut tries = 0;
        // A call of a repeated run counts as a repeat, however often it is sent itself.
        let repeated = self.call.repeat.get();
        if repeated {
            self.outbound.shares.charge(&self.call.service);
        } else {
            self.outbound.shares.earn(&self.call.service);
        }
        loop {
            let target = match target::find(shared, self.call, &tried) {
                Ok(target) => target,
                Err(refusal) => {
                    if tries == 0 && self.owner_learned(refusal.reason).await {
                        continue;
                    }
                    self.note_unsent(&refusal);
                    return match kept {
                        // No instance is left to try: what the last one said tells more.
                        Some(kept) if refusal.reason == Reason::NoInstance => kept,
                        kept => Outcome::Refused(refusal).or_earlier(kept),
                    };
                }
            };
            self.call.repeat.set(repeated || arrivals > 0);
            tries += 1;
            self.note_sent(target, tries);
            let outcome = self.send(target).await;
            self.note(target, &outcome);
            let next = match &outcome {
                Outcome::Answered(response) => {
                    arrivals += 1;
                    if !response.status().is_server_error() {
                        return outcome;
                    }
                    self.may_repeat(arrivals)
                }
                Outcome::Failed(_) => {
                    arrivals += 1;
                    self.may_repeat(arrivals)
                }
                Outcome::Refused(refusal) => {
                    refusals += 1;
                    arrivals += u32::from(refusal.arrived);
                    if refusals < MAX_REFUSALS {
                        self.may_move(target, refusal, arrivals).await
                    } else {
                        Err(GiveUp::Attempts)
                    }
                }
            };
            if let Err(why) = next {
                let left = self.call.deadline.saturating_sub(shared.now());
                self.trail.note(Step::GivenUp { why, arrivals, left });
                return outcome.or_earlier(kept);
            }
            self.trail.note(Step::Again { arrivals });
            kept = Some(outcome.or_earlier(kept));
            tried.push(target.address);
            if self.call.key.is_some() {
                // Only the owner can serve it.
                tried.clear();
            }
        }
    }

    async fn send(&self, target: Target) -> Outcome {
        let shared = &self.outbound.shared;
        if target.own {
            return upstream::run(shared, self.call, self.trail).await;
        }
        let peer = shared.peers.get(target.address);
        forward(shared, &peer, self.call, target.local, self.trail).await
    }

    /// Asks for a newer record where the known one names no owner, and waits a moment for one that does.
    async fn owner_learned(&self, reason: Reason) -> bool {
        if !matches!(reason, Reason::Unowned | Reason::NoInstance) {
            return false;
        }
        let patience = control::want_records(&self.outbound.shared, &self.call.service);
        self.finds(patience, |_| true).await
    }

    /// Waits for at most `patience` until the known records name a target that is `fit`; returns whether they do.
    async fn finds(&self, patience: Duration, fit: impl Fn(Target) -> bool) -> bool {
        let shared = &self.outbound.shared;
        let end = tokio::time::Instant::now() + patience;
        loop {
            let changed = shared.changed.notified();
            if target::find(shared, self.call, &[]).is_ok_and(&fit) {
                return true;
            }
            if tokio::time::timeout_at(end, changed).await.is_err() {
                return false;
            }
        }
    }

    fn note_unsent(&self, refusal: &Refusal) {
        let Refusal { reason, pause, .. } = *refusal;
        let service = self.call.service.clone();
        let knowledge = self.outbound.shared.knowledge.borrow();
        let version = knowledge.record(&service).map(|record| record.version).unwrap_or_default();
        self.trail.note(Step::Unsent { reason, pause, service, version });
    }

    fn note_sent(&self, target: Target, number: u32) {
        let Target { address, version, .. } = target;
        let service = self.call.service.clone();
        self.trail.note(Step::Sent { service, address, version, number });
    }

    fn note(&self, target: Target, outcome: &Outcome) {
        self.trail.note(Step::Came { address: target.address, told: outcome.into() });
        let service = &self.call.service;
        if let Outcome::Refused(Refusal { reason: Reason::OtherService, .. }) = outcome {
            control::note_ended(&self.outbound.shared, service, target.member);
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
        self.spend(RepeatKind::Run)
    }

    fn spend(&self, kind: RepeatKind) -> Result<(), GiveUp> {
        let granted = self.outbound.shares.spend(&self.call.service, kind);
        granted.then_some(()).ok_or(GiveUp::Share)
    }

    /// Whether enough time is left for another try.
    fn check_time(&self) -> Result<(), GiveUp> {
        let left = self.call.deadline.saturating_sub(self.outbound.shared.now());
        (left > self.rule.objective / 4).then_some(()).ok_or(GiveUp::NoTime)
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
            self.spend(RepeatKind::Refused)?;
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
            control::pull_soon(shared, target.address);
        }
        let moved =
            |found: Target| found.version > target.version && found.address != target.address;
        self.finds(RECORD_PATIENCE, moved).await.then_some(()).ok_or(GiveUp::Owner)
    }
}
