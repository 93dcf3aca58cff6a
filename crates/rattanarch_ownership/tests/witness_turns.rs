//! Owners that lose a witness to a planned stop replace it in turns.

mod members;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use members::member;
use rattanarch_ownership::Action;
use rattanarch_ownership::Event;
use rattanarch_ownership::Node;
use rattanarch_ownership::Timing;
use rattanarch_ownership::WriteOutcome;
use rattanarch_placement::Spread;
use rattanarch_types::BootId;
use rattanarch_types::Record;

const COUNT: u64 = 24;
const TICK: Duration = Duration::from_millis(20);

/// Number of members that stop at the same time.
const STOPPING: usize = 4;

/// Nodes whose updates take a tick, so that updates sent in the same tick conflict; counts lost races.
struct Fleet {
    nodes: Vec<Node>,
    stored: Record,
    writes: VecDeque<(usize, Record)>,
    races: u64,
    left: Vec<BootId>,
}

impl Fleet {
    fn new() -> Self {
        let node = |id| {
            let node = Node::new(id, member(&format!("m{id}")), Timing::default(), id);
            node.with_spread(Spread::ByLoad)
        };
        let nodes = (1..=COUNT).map(node).collect();
        let stored = Record::new("trade-desk", 1_024);
        Self { nodes, stored, writes: VecDeque::new(), races: 0, left: Vec::new() }
    }

    fn run(&mut self, from: u32, ticks: u32) {
        for tick in from..from + ticks {
            let now = TICK * tick;
            for (sender, record) in std::mem::take(&mut self.writes) {
                self.write(now, sender, record);
            }
            for index in 0..self.nodes.len() {
                self.deliver(now, index, Event::Tick);
                if tick % 40 == 0 {
                    self.deliver(now, index, Event::ReleaseWindow { moves: BTreeMap::new() });
                }
            }
        }
    }

    fn write(&mut self, now: Duration, sender: usize, record: Record) {
        let write_id = record.write_id;
        if record.version != self.stored.version + 1 {
            self.races += 1;
            let outcome = WriteOutcome::Conflict(self.stored.clone());
            return self.deliver(now, sender, Event::Written { write_id, outcome });
        }
        // Members that the change affects are told at once; the others learn of it from their witnesses.
        let affected = record.affected_since(&self.stored);
        self.stored = record;
        self.deliver(now, sender, Event::Written { write_id, outcome: WriteOutcome::Accepted });
        for id in affected {
            let record = self.stored.clone();
            self.deliver(now, id as usize - 1, Event::Record { record, read_sent: None });
        }
    }

    fn deliver(&mut self, now: Duration, index: usize, event: Event) {
        let mut events = VecDeque::from([(index, event)]);
        while let Some((index, event)) = events.pop_front() {
            let me = self.nodes[index].me();
            if self.left.contains(&me) {
                continue;
            }
            for action in self.nodes[index].step(now, event) {
                match action {
                    Action::Read | Action::CatchUp { .. } => {
                        let record = self.stored.clone();
                        let event = Event::Record { record, read_sent: Some(now) };
                        events.push_back((index, event));
                    }
                    Action::Write(record) => self.writes.push_back((index, record)),
                    Action::Send { to, message } => {
                        events.push_back((to as usize - 1, Event::Message { from: me, message }));
                    }
                    Action::Drain { slices, hot } => {
                        let handovers = BTreeMap::new();
                        events.push_back((index, Event::Drained { slices, hot, handovers }));
                    }
                    Action::Left => self.left.push(me),
                    Action::Delegate { .. } | Action::Fence { .. } | Action::Rejoin => {
                        panic!("unexpected action of member {me}")
                    }
                }
            }
        }
    }
}

/// Four members stop at once, as in a rolling restart of a tenth of the fleet. The owners that they witness replace them
/// one after the other and lose at most one race each.
#[test]
fn four_stop() {
    let mut fleet = Fleet::new();
    fleet.run(1, 600);
    let stopping: Vec<BootId> = (1..=STOPPING as BootId).collect();
    let witnessed = |fleet: &Fleet| {
        let members = fleet.stored.members.iter();
        let is_stopping = |id: &BootId| stopping.contains(id);
        members.filter(|(_, member)| member.witnesses.iter().any(is_stopping)).count() as u64
    };
    let owners = witnessed(&fleet);
    assert!(owners >= 8, "only {owners} owners have a witness that stops");
    fleet.races = 0;
    for id in &stopping {
        fleet.deliver(TICK * 601, *id as usize - 1, Event::Stop);
    }
    fleet.run(602, 200);
    assert_eq!(fleet.left.len(), STOPPING, "not all have left within 4 s");
    // The four members also write their own departures at the same time.
    assert!(fleet.races <= owners + STOPPING as u64, "{} races of {owners} owners", fleet.races);
}
