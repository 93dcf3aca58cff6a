//! Daemons that write change requests for each other, over a network without faults and a platform on which
//! concurrent updates conflict.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use rattanarch_ownership::Action;
use rattanarch_ownership::Batcher;
use rattanarch_ownership::ChangeRequest;
use rattanarch_ownership::Event;
use rattanarch_ownership::Node;
use rattanarch_ownership::Timing;
use rattanarch_ownership::WriteOutcome;
use rattanarch_placement::MAX_WITNESSES;
use rattanarch_placement::Spread;
use rattanarch_types::BootId;
use rattanarch_types::Member;
use rattanarch_types::Record;

/// Ticks after which a daemon that does not answer counts as declining, as on the users' platform.
const DECLINE_TICKS: u32 = 20;

/// Time between two steps of each node, which is also how long an update takes.
pub(crate) const TICK: Duration = Duration::from_millis(20);

/// Nodes, each with a batcher, and the stored record.
pub(crate) struct Fleet {
    pub(crate) nodes: Vec<Node>,
    batchers: Vec<Batcher>,
    /// Daemons that do not answer the change requests of others.
    pub(crate) silent: BTreeSet<usize>,
    /// Daemons that have ended.
    pub(crate) dead: BTreeSet<usize>,
    pub(crate) stored: Record,
    /// Pending [`Event::Declined`] events: the tick, the node to tell, and the member that did not answer.
    declines: Vec<(u32, usize, BootId)>,
    /// Updates in flight, with the index of their sender.
    writes: VecDeque<(usize, Record)>,
    pub(crate) updates: u64,
    pub(crate) races: u64,
    tick: u32,
}

impl Fleet {
    pub(crate) fn new(nodes: Vec<Node>, stored: Record) -> Self {
        let seeds = 500..500 + nodes.len() as u64;
        let batcher = |seed| Batcher::new(seed).with_spread(Spread::ByLoad);
        Self {
            nodes,
            batchers: seeds.map(batcher).collect(),
            silent: BTreeSet::new(),
            dead: BTreeSet::new(),
            declines: Vec::new(),
            stored,
            writes: VecDeque::new(),
            updates: 0,
            races: 0,
            tick: 0,
        }
    }

    /// Members 1 to `count`, made by `member`, whose processes have all restarted: the record still names their
    /// previous boot ids, 1,001 and up, which own `slices` in equal parts.
    pub(crate) fn restarted(
        count: u64,
        slices: u16,
        timing: Timing,
        member: impl Fn(BootId) -> Member,
    ) -> Self {
        let node = |id: BootId| {
            let node = Node::new(id, member(id), timing, id);
            node.with_spread(Spread::ByLoad).with_batching()
        };
        let mut stored = Record::new("trade-desk", slices);
        stored.owners = (0..u64::from(slices)).map(|slice| Some(1_001 + slice % count)).collect();
        stored.members = (1..=count).map(|id| (1_000 + id, member(id))).collect();
        stored.version = 7;
        Self::new((1..=count).map(node).collect(), stored)
    }

    /// [`Fleet::restarted`] members that have joined and have all their witnesses.
    pub(crate) fn settled(count: u64, slices: u16, member: impl Fn(BootId) -> Member) -> Self {
        let mut fleet = Self::restarted(count, slices, Timing::default(), member);
        fleet.run_until(|fleet| fleet.stored.members.keys().all(|id| *id <= count));
        let full = |member: &Member| member.witnesses.len() >= MAX_WITNESSES;
        fleet.run_until(|fleet| fleet.stored.members.values().all(full));
        for _ in 0..100 {
            fleet.step();
        }
        fleet
    }

    /// Runs until `done` and returns the time taken; panics after 10 s.
    pub(crate) fn run_until(&mut self, done: impl Fn(&Self) -> bool) -> Duration {
        let began = self.tick;
        while self.tick < began + 500 {
            self.step();
            if done(self) {
                return TICK * (self.tick - began);
            }
        }
        panic!(
            "not done within 10 s: record {} with {:?}",
            self.stored.version, self.stored.members
        );
    }

    /// Runs one tick of every node and batcher.
    pub(crate) fn step(&mut self) {
        self.tick += 1;
        let now = self.now();
        for (sender, record) in std::mem::take(&mut self.writes) {
            self.write(now, sender, record);
        }
        let tick = self.tick;
        let due: Vec<_> = self.declines.extract_if(.., |(at, ..)| *at <= tick).collect();
        for (_, index, by) in due {
            self.deliver(index, Event::Declined { by });
        }
        let dead = self.dead.clone();
        for index in (0..self.nodes.len()).filter(|index| !dead.contains(index)) {
            self.deliver(index, Event::Tick);
            let no_members = BTreeSet::new();
            let known = self.nodes[index].record().cloned().unwrap_or_default();
            let draft = self.batchers[index].draft(now, &known, &no_members, &no_members);
            self.writes.extend(draft.map(|draft| (index, draft)));
        }
    }

    fn now(&self) -> Duration {
        TICK * self.tick
    }

    fn write(&mut self, now: Duration, sender: usize, record: Record) {
        let write_id = record.write_id;
        let accepted = record.version == self.stored.version + 1;
        if accepted {
            self.updates += 1;
            self.stored = record;
        } else {
            self.races += 1;
        }
        let outcome = if accepted {
            WriteOutcome::Accepted
        } else {
            WriteOutcome::Conflict(self.stored.clone())
        };
        self.batchers[sender].settle(now, write_id, &outcome);
        // The writer sends the new record to the others at once.
        for index in 0..self.nodes.len() {
            let record = self.stored.clone();
            self.deliver(index, Event::Record { record, read_sent: None });
        }
        self.deliver(sender, Event::Written { write_id, outcome });
    }

    /// Delivers an event to a node and carries out all actions that follow from it.
    pub(crate) fn deliver(&mut self, index: usize, event: Event) {
        let now = self.now();
        let mut events = VecDeque::from([(index, event)]);
        while let Some((index, event)) = events.pop_front() {
            if self.dead.contains(&index) {
                continue;
            }
            let me = self.nodes[index].me();
            for action in self.nodes[index].step(now, event) {
                match action {
                    Action::Read | Action::CatchUp { .. } => {
                        let record = self.stored.clone();
                        events.push_back((index, Event::Record { record, read_sent: Some(now) }));
                    }
                    Action::Fence { above } => {
                        events.push_back((index, Event::Fenced { fence: above + 1 }));
                    }
                    Action::Drain { slices, hot } => {
                        let handovers = BTreeMap::new();
                        events.push_back((index, Event::Drained { slices, hot, handovers }));
                    }
                    Action::Send { to, message } => {
                        let to = self.nodes.iter().position(|node| node.me() == to);
                        events.extend(to.map(|to| (to, Event::Message { from: me, message })));
                    }
                    Action::Write(record) => self.writes.push_back((index, record)),
                    Action::Delegate { to, request } => self.delegate(index, to, request),
                    Action::Left => drop(self.dead.insert(index)),
                    Action::Rejoin => panic!("node {me} was taken over"),
                }
            }
        }
    }

    fn delegate(&mut self, from: usize, to: Option<BootId>, request: ChangeRequest) {
        // A previous boot id leads to the process that replaced it: 1,003 to 3.
        let at = to.map_or(from, |id| (id % 1_000) as usize - 1);
        if at == from || !self.silent.contains(&at) && !self.dead.contains(&at) {
            let now = self.now();
            self.batchers[at].add(now, request);
        } else if let Some(by) = to {
            self.declines.push((self.tick + DECLINE_TICKS, from, by));
        }
    }
}
