//! Owners that lose a witness to a planned stop change it in turns.

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

/// Members that stop at the same time.
const STOPPING: usize = 4;

/// Nodes whose updates take a tick, so that those sent in the same one race, and whose lost races are counted.
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
                self.give(now, index, Event::Tick);
                if tick % 40 == 0 {
                    self.give(now, index, Event::ReleaseWindow { moves: BTreeMap::new() });
                }
            }
        }
    }

    fn write(&mut self, now: Duration, sender: usize, record: Record) {
        let write_id = record.write_id;
        if record.version != self.stored.version + 1 {
            self.races += 1;
            let outcome = WriteOutcome::Conflict(self.stored.clone());
            return self.give(now, sender, Event::Written { write_id, outcome });
        }
        // Those whom a change concerns are told; the others hear of it from their witnesses.
        let concerned = record.affected_since(&self.stored);
        self.stored = record;
        self.give(now, sender, Event::Written { write_id, outcome: WriteOutcome::Accepted });
        for id in concerned {
            let record = self.stored.clone();
            self.give(now, id as usize - 1, Event::Record { record, read_sent: None });
        }
    }

    fn give(&mut self, now: Duration, index: usize, event: Event) {
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
                        panic!("member {me} is out")
                    }
                }
            }
        }
    }
}

/// Four members stop at once, as in a rolling restart of a tenth of the fleet: owners that they witness change one after
/// the other, and lose at most one race each.
#[test]
fn four_stop() {
    let mut fleet = Fleet::new();
    fleet.run(1, 600);
    let stopping: Vec<BootId> = (1..=STOPPING as BootId).collect();
    let named = |fleet: &Fleet| {
        let members = fleet.stored.members.iter();
        let witnessed = |id: &BootId| stopping.contains(id);
        members.filter(|(_, member)| member.witnesses.iter().any(witnessed)).count() as u64
    };
    let wards = named(&fleet);
    assert!(wards >= 8, "{wards} owners have a witness among them");
    fleet.races = 0;
    for id in &stopping {
        fleet.give(TICK * 601, *id as usize - 1, Event::Stop);
    }
    fleet.run(602, 200);
    assert_eq!(fleet.left.len(), STOPPING, "all have left within 4 s");
    // The four also write that they leave, at the same moment.
    assert!(fleet.races <= wards + STOPPING as u64, "{} races of {wards} owners", fleet.races);
}
