//! The part of one daemon that takes part in the ownership of one service.

use std::mem;

use rattanarch_types::BootId;
use rattanarch_types::Member;
use rattanarch_types::Moment;

use crate::Action;
use crate::Event;
use crate::Message;
use crate::Rules;
use crate::Serving;
use crate::Timing;
use crate::core::Core;
use crate::joining::Joining;
use crate::life::Life;
use crate::membership::Membership;
use crate::witness::Request;
use crate::witness::Witness;

/// One member's state machine.
#[derive(Debug)]
pub struct Node {
    core: Core,
    life: Life,
    witness: Witness,
    serving: Serving,
    /// Time of the last step; time never goes back.
    now: Moment,
}

impl Node {
    /// A node that will join as `member` under the boot id `me`; `seed` feeds its jitter and its
    /// write ids. Term, witnesses and leaving mark of `member` are ignored.
    pub fn new(me: BootId, member: Member, timing: Timing, seed: u64) -> Self {
        Self {
            core: Core::new(me, member, timing, seed),
            life: Life::Joining(Joining::default()),
            witness: Witness::default(),
            serving: Serving::default(),
            now: Moment::ZERO,
        }
    }

    /// Replaces the rules; tests alone put one out of force.
    #[doc(hidden)]
    pub fn with_rules(mut self, rules: Rules) -> Self {
        self.core.rules = rules;
        self
    }

    /// Boot id of this member.
    pub fn me(&self) -> BootId {
        self.core.me
    }

    /// Takes one event at `now`, read after the event arrived, and returns what is to be done, in
    /// order.
    pub fn step(&mut self, now: Moment, event: Event) -> Vec<Action> {
        let now = self.wake(now);
        let before = self.core.record.clone();
        self.take(now, event);
        if let Some(record) = self.core.record.clone()
            && before.as_ref().is_none_or(|before| before.version != record.version)
        {
            self.witness.apply(now, before.as_deref(), &record);
        }
        self.advance(now);
        self.publish();
        mem::take(&mut self.core.out)
    }

    /// What the request path may do now.
    pub fn serving(&self) -> &Serving {
        &self.serving
    }

    /// Notices a pause: a gap of more than a heartbeat.
    fn wake(&mut self, now: Moment) -> Moment {
        let now = now.max(self.now);
        if now - self.now > self.core.timing.heartbeat {
            self.core.awake = now;
        }
        self.now = now;
        now
    }

    fn take(&mut self, now: Moment, event: Event) {
        match event {
            Event::Record { record, read_sent } => self.core.learn(now, record, read_sent),
            Event::Fenced => self.core.fenced = true,
            Event::Message { from, message } => self.receive(now, from, message),
            Event::Written { write_id, outcome } => self.core.written(now, write_id, outcome),
            Event::Tick
            | Event::Quiet { .. }
            | Event::Intent { .. }
            | Event::Load { .. }
            | Event::Stop => {}
        }
    }

    fn receive(&mut self, now: Moment, from: BootId, message: Message) {
        match message {
            Message::Renew { term, sent, record, load } => {
                self.core.loads.insert(from, load);
                self.core.catch_up(now, record);
                let request = Request { term, sent, applied: record };
                let answer = self.witness.renew(&self.core, now, from, request);
                self.core.send(from, answer);
            }
            Message::Ack { term, sent, record, load } => {
                self.core.loads.insert(from, load);
                self.core.catch_up(now, record);
                if let Life::Member(member) = &mut self.life {
                    member.acknowledge(&self.core, now, from, term, sent);
                }
            }
            Message::Refused { sealed, record } => {
                self.core.catch_up(now, record);
                if let Life::Member(member) = &mut self.life {
                    member.lease.refuse(sealed);
                }
            }
            Message::Seal { owner, term, forced } => {
                let answer = self.witness.seal(&self.core, now, owner, term, forced);
                self.core.send(from, answer);
            }
            Message::Sealed { .. } | Message::Alive { .. } => {}
        }
    }

    fn advance(&mut self, now: Moment) {
        self.core.resend(now);
        let is_member = self.core.own().is_some();
        match &mut self.life {
            Life::Joining(_) if is_member => self.life = Life::Member(Membership::default()),
            Life::Member(_) if !is_member => {
                self.life = Life::Gone;
                self.core.out.push(Action::Rejoin);
            }
            Life::Joining(_) | Life::Member(_) | Life::Gone => {}
        }
        match &mut self.life {
            Life::Joining(joining) => joining.advance(&mut self.core, now),
            Life::Member(member) => member.advance(&mut self.core, now),
            Life::Gone => {}
        }
    }

    fn publish(&mut self) {
        let Some(record) = &self.core.record else { return };
        self.serving.me = self.core.me;
        self.serving.record = record.clone();
        self.serving.until = match &self.life {
            Life::Member(member) => member.until(&self.core),
            Life::Joining(_) | Life::Gone => None,
        };
    }
}
