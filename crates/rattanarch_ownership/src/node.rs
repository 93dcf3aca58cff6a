//! One daemon's participant in the ownership of one service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::mem;
use std::sync::Arc;

use rattanarch_placement::Spread;
use rattanarch_types::BootId;
use rattanarch_types::Fence;
use rattanarch_types::KeyHash;
use rattanarch_types::Member;
use rattanarch_types::Moment;
use rattanarch_types::Record;
use rattanarch_types::SliceId;

use crate::Action;
use crate::Event;
use crate::Message;
use crate::Rules;
use crate::Serving;
use crate::Timing;
use crate::WaitReason;
use crate::core::Core;
use crate::joining::Joining;
use crate::joining::previous_boot;
use crate::leaving::Leaving;
use crate::membership::Membership;
use crate::phase::Phase;
use crate::takeovers::Promise;
use crate::witness::Renewal;
use crate::witness::Witness;

/// State machine of one member, or of a node that is about to become one.
#[derive(Debug)]
pub struct Node {
    core: Core,
    phase: Phase,
    witness: Witness,
    serving: Serving,
    /// Time of the last step; it never decreases.
    now: Moment,
}

impl Node {
    /// A node that will join as `member` under the boot id `me`; its jitter and its write ids are derived from `seed`.
    /// Term, witnesses and leaving mark of `member` are ignored.
    ///
    /// The upstream must have taken `member.fence` before, unless it checks no fences.
    pub fn new(me: BootId, member: Member, timing: Timing, seed: u64) -> Self {
        Self {
            core: Core::new(me, member, timing, seed),
            phase: Phase::Joining(Joining::default()),
            witness: Witness::default(),
            serving: Serving::default(),
            now: Moment::ZERO,
        }
    }

    /// Replaces the rules; only tests switch one off.
    #[doc(hidden)]
    pub fn with_rules(mut self, rules: Rules) -> Self {
        self.core.rules = rules;
        self
    }

    /// Sets how slices are distributed; it must be the same in every member of a service.
    pub fn with_spread(mut self, spread: Spread) -> Self {
        self.core.spread = spread;
        self
    }

    /// Delegates joins, departures and changes of witnesses to daemons that write them in batches, as well as releases
    /// and takeovers while the record is contended; see [`Action::Delegate`]. Otherwise the node writes its own.
    pub fn with_batching(mut self) -> Self {
        self.core.batching = true;
        self
    }

    /// Sets the members that existed when this process began to follow the record. Others in the node's first record
    /// have joined since, and count as alive.
    pub fn with_initial_members(mut self, members: BTreeSet<BootId>) -> Self {
        self.core.initial_members = Some(members);
        self
    }

    /// Boot id of this member.
    pub fn me(&self) -> BootId {
        self.core.me
    }

    /// Handles one event and returns the actions to carry out, in order. `now` must be read after the event arrived.
    pub fn step(&mut self, now: Moment, event: Event) -> Vec<Action> {
        let now = self.detect_pause(now);
        let before = self.core.record.clone();
        self.handle_event(now, event);
        if let Some(record) = self.core.record.clone()
            && before.as_ref().is_none_or(|before| before.version != record.version)
        {
            self.witness.apply(now, before.as_deref(), &record);
        }
        self.advance(now);
        self.core.release_window = false;
        self.core.planned_moves.clear();
        self.publish();
        mem::take(&mut self.core.actions)
    }

    /// The applied record; at version 0 if the service has none yet, `None` before it is known.
    pub fn record(&self) -> Option<&Record> {
        self.core.record.as_deref()
    }

    /// What the daemon may serve now.
    pub fn serving(&self) -> &Serving {
        &self.serving
    }

    /// What the node waits for.
    pub fn wait_reason(&self) -> WaitReason {
        let Phase::Leaving(leaving) = &self.phase else { return self.serving_wait_reason() };
        leaving.wait_reason(&self.core, self.now)
    }

    fn serving_wait_reason(&self) -> WaitReason {
        match &self.phase {
            Phase::Joining(Joining { previous: Some(id), .. }) => WaitReason::PreviousBoot(*id),
            Phase::Joining(_) => WaitReason::Platform,
            Phase::Member(_) if self.serving.lease_end.is_none_or(|end| self.now >= end) => {
                WaitReason::Witnesses
            }
            Phase::Member(_) | Phase::Leaving(_) | Phase::Ended => WaitReason::Nothing,
        }
    }

    /// Detects a pause of the process: a gap of more than a heartbeat between two steps.
    fn detect_pause(&mut self, now: Moment) -> Moment {
        let now = now.max(self.now);
        if now - self.now > self.core.timing.heartbeat {
            self.core.resumed_at = now;
        }
        self.now = now;
        now
    }

    fn handle_event(&mut self, now: Moment, event: Event) {
        match event {
            Event::Record { record, read_sent } => {
                self.core.record_received(now, record, read_sent);
            }
            Event::Fenced { fence } => self.fence_taken(fence),
            Event::Message { from, message } => self.handle_message(now, from, message),
            Event::Written { write_id, outcome } => self.core.write_ended(now, write_id, outcome),
            Event::Drained { slices, hot, handovers } => self.drained(&slices, &hot, handovers),
            Event::ExcludedMembers { excluded, lost } => {
                self.core.set_excluded(now, excluded, lost);
            }
            Event::Load { slices, keys } => self.core.set_load(&slices, keys),
            Event::ReleaseWindow { moves } => {
                self.core.release_window = true;
                self.core.planned_moves = moves;
            }
            Event::PlatformReached { call_sent } => self.core.platform.reached_by_peer(call_sent),
            Event::Declined { by } => self.declined(by),
            Event::Stop => self.core.stopping = true,
            Event::Tick => {}
        }
    }

    fn fence_taken(&mut self, fence: Fence) {
        self.core.member.fence = fence;
        if let Phase::Joining(joining) = &mut self.phase {
            joining.fence_taken(fence);
        }
    }

    fn declined(&mut self, by: BootId) {
        if let Phase::Joining(joining) = &mut self.phase {
            joining.declined(by);
            return;
        }
        if let Phase::Leaving(leaving) = &mut self.phase {
            leaving.declined(by);
        }
        if let Some(member) = self.phase.member_mut() {
            member.takeovers.declined(by);
            member.replacer.declined(by);
            if let Some(release) = &mut member.release {
                release.declined(by);
            }
        }
    }

    fn drained(
        &mut self,
        slices: &[SliceId],
        hot: &[KeyHash],
        handovers: BTreeMap<SliceId, String>,
    ) {
        let member = self.phase.member_mut();
        if let Some(release) = member.and_then(|member| member.release.as_mut()) {
            release.drained(slices, hot, handovers);
        }
    }

    fn handle_message(&mut self, now: Moment, from: BootId, message: Message) {
        match message {
            Message::Renew { term, sent, record, load } => {
                self.core.peer_heard(now, from, record, load);
                if !self.may_acknowledge(now) {
                    // A response that confirms the membership lets it acknowledge the next request.
                    return self.core.request_read(now);
                }
                let request = Renewal { term, sent, applied: record };
                let reply = self.witness.renew(&self.core, now, from, request);
                self.core.send(from, reply);
            }
            Message::Ack { term, sent, record, load } => {
                self.core.peer_heard(now, from, record, load);
                if let Some(member) = self.phase.member_mut() {
                    member.acknowledged(&self.core, now, from, term, sent);
                }
            }
            Message::Refused { sealed, record } => {
                self.core.catch_up(now, from, record);
                if let Some(member) = self.phase.member_mut() {
                    member.lease.term_refused(sealed);
                }
            }
            Message::Seal { owner, term, forced } => {
                let reply = self.witness.seal(&self.core, now, owner, term, forced);
                self.core.send(from, reply);
            }
            Message::Sealed { owner, term, remaining } => {
                let promise = Promise { owner, term, remaining };
                if let Some(member) = self.phase.member_mut() {
                    member.takeovers.promised(&self.core, now, from, promise);
                }
            }
            Message::Alive { owner } => {
                if let Some(member) = self.phase.member_mut() {
                    member.takeovers.vouched(&self.core, &mut self.witness, now, owner);
                }
            }
        }
    }

    /// Whether this node may acknowledge leases, see [`Rules::witness_standing`].
    fn may_acknowledge(&self, now: Moment) -> bool {
        let leased = |member: &Membership| {
            let end = member.lease_end(&self.core);
            end.is_some_and(|end| now < end) || self.core.is_member_confirmed(now)
        };
        match &self.phase {
            _ if !self.core.rules.witness_standing => true,
            Phase::Member(member) => leased(member),
            // The update in flight may be the departure.
            Phase::Leaving(leaving) => {
                !leaving.may_have_left(&self.core) && leased(&leaving.member)
            }
            Phase::Joining(_) | Phase::Ended => false,
        }
    }

    fn advance(&mut self, now: Moment) {
        self.core.resend(now);
        let phase = mem::replace(&mut self.phase, Phase::Ended);
        self.phase = self.next_phase(now, phase);
        match &mut self.phase {
            // A node that stops sends no further join requests.
            Phase::Joining(_) if self.core.batching && self.core.stopping => {}
            Phase::Joining(joining) => joining.advance(&mut self.core, now),
            Phase::Member(member) => member.advance(&mut self.core, &mut self.witness, now),
            Phase::Leaving(leaving) => leaving.advance(&mut self.core, &mut self.witness, now),
            Phase::Ended => {}
        }
    }

    /// The next phase, by the record and whether the process is to stop.
    fn next_phase(&mut self, now: Moment, phase: Phase) -> Phase {
        let is_member = self.core.own_member().is_some();
        let stopping = self.core.stopping;
        let is_pending =
            |joining: &Joining| self.core.attempt.is_some() || joining.is_delegated(now);
        match phase {
            Phase::Joining(_) if is_member => Phase::Member(Membership::default()),
            Phase::Joining(joining) if stopping && !is_pending(&joining) => self.end(Action::Left),
            Phase::Member(_) if !is_member && self.is_replaced() => self.end(Action::Left),
            Phase::Member(_) if !is_member => self.end(Action::Rejoin),
            Phase::Member(member) if stopping => Phase::Leaving(Leaving::new(member)),
            Phase::Leaving(_) if !is_member => self.end(Action::Left),
            Phase::Joining(_) | Phase::Member(_) | Phase::Leaving(_) | Phase::Ended => phase,
        }
    }

    /// Whether another process of the same instance has taken this member's place.
    fn is_replaced(&self) -> bool {
        let record = self.core.record.as_ref();
        record.is_some_and(|record| previous_boot(record, &self.core.member.instance).is_some())
    }

    fn end(&mut self, action: Action) -> Phase {
        self.core.actions.push(action);
        Phase::Ended
    }

    fn publish(&mut self) {
        let Some(record) = &self.core.record else { return };
        let member = self.phase.member();
        self.serving.me = self.core.me;
        self.serving.record = record.clone();
        self.serving.lease_end = member.and_then(|member| member.lease_end(&self.core));
        let (slices, hot) = member.map(|member| member.releasing(&self.core)).unwrap_or_default();
        if *self.serving.releasing != slices {
            self.serving.releasing = Arc::new(slices);
        }
        if *self.serving.releasing_hot != hot {
            self.serving.releasing_hot = Arc::new(hot);
        }
    }
}
