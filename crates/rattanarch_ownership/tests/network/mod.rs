//! A network and a platform without faults, for tests that lead a few nodes.

use std::collections::BTreeMap;
use std::time::Duration;

use rattanarch_ownership::Action;
use rattanarch_ownership::Event;
use rattanarch_ownership::Node;
use rattanarch_ownership::WriteOutcome;
use rattanarch_types::Record;

/// Time between two steps of each node.
pub(crate) const TICK: Duration = Duration::from_millis(10);

/// Events that one moment may lead to.
const MAX_EVENTS: usize = 10_000;

/// Ticks between two heartbeats of an upstream.
const WINDOW: u32 = 90;

/// Runs every node for `ticks` over a network and a platform without faults. Upstreams say every
/// [`WINDOW`] ticks that slices may be given up.
pub(crate) fn run(nodes: &mut [Node], stored: &mut Record, from: u32, ticks: u32) {
    for tick in from..from + ticks {
        let now = TICK * tick;
        let mut inbox: Vec<_> = (0..nodes.len()).map(|node| (node, Event::Tick)).collect();
        if tick % WINDOW == 0 {
            let window = || Event::ReleaseWindow { moves: BTreeMap::new() };
            inbox.extend((0..nodes.len()).map(|node| (node, window())));
        }
        settle(nodes, stored, now, inbox);
    }
}

/// Lets nodes take events, each with the number of its node, and all that follows from them.
pub(crate) fn settle(
    nodes: &mut [Node],
    stored: &mut Record,
    now: Duration,
    mut inbox: Vec<(usize, Event)>,
) {
    let mut taken = 0;
    while let Some((index, event)) = inbox.pop() {
        taken += 1;
        assert!(taken < MAX_EVENTS, "node {index} goes round in circles with {event:?}");
        let me = nodes[index].me();
        for action in nodes[index].step(now, event) {
            let answer = match action {
                Action::Read | Action::CatchUp { .. } => {
                    (index, Event::Record { record: stored.clone(), read_sent: Some(now) })
                }
                Action::Write(record) => {
                    let write_id = record.write_id;
                    let accepted = record.version == stored.version + 1;
                    if accepted {
                        *stored = record;
                    }
                    // The daemon tells the record before the end of the update.
                    let record = stored.clone();
                    let event = Event::Record { record, read_sent: None };
                    let conflict = WriteOutcome::Conflict(stored.clone());
                    let outcome = if accepted { WriteOutcome::Accepted } else { conflict };
                    inbox.push((index, Event::Written { write_id, outcome }));
                    (index, event)
                }
                Action::Send { to, message } => {
                    let Some(to) = nodes.iter().position(|node| node.me() == to) else {
                        continue;
                    };
                    (to, Event::Message { from: me, message })
                }
                Action::Drain { slices, hot } => {
                    (index, Event::Drained { slices, hot, handovers: BTreeMap::new() })
                }
                Action::Fence { .. } | Action::Delegate { .. } | Action::Rejoin | Action::Left => {
                    panic!("member {me} is out")
                }
            };
            inbox.push(answer);
        }
    }
}
