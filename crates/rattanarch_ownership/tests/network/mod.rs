//! A network and a platform without faults, for tests of a few nodes.

use std::collections::BTreeMap;
use std::time::Duration;

use rattanarch_ownership::Action;
use rattanarch_ownership::Event;
use rattanarch_ownership::Node;
use rattanarch_ownership::WriteOutcome;
use rattanarch_types::Record;

/// Time between two steps of each node.
pub(crate) const TICK: Duration = Duration::from_millis(10);

/// Most events that one call of [`deliver`] may lead to.
const MAX_EVENTS: usize = 10_000;

/// Ticks between two heartbeats of an upstream, at which slices can be released.
const WINDOW_TICKS: u32 = 90;

/// Runs every node for `ticks` ticks. Every [`WINDOW_TICKS`] ticks each node gets a release window.
pub(crate) fn run(nodes: &mut [Node], stored: &mut Record, from: u32, ticks: u32) {
    for tick in from..from + ticks {
        let now = TICK * tick;
        let mut inbox: Vec<_> = (0..nodes.len()).map(|node| (node, Event::Tick)).collect();
        if tick % WINDOW_TICKS == 0 {
            let window = || Event::ReleaseWindow { moves: BTreeMap::new() };
            inbox.extend((0..nodes.len()).map(|node| (node, window())));
        }
        deliver(nodes, stored, now, inbox);
    }
}

/// Delivers events, each with the index of its node, and carries out all actions that follow from them.
pub(crate) fn deliver(
    nodes: &mut [Node],
    stored: &mut Record,
    now: Duration,
    mut inbox: Vec<(usize, Event)>,
) {
    let mut delivered = 0;
    while let Some((index, event)) = inbox.pop() {
        delivered += 1;
        assert!(
            delivered < MAX_EVENTS,
            "too many events, the last of them {event:?} for node {index}"
        );
        let me = nodes[index].me();
        for action in nodes[index].step(now, event) {
            let reply = match action {
                Action::Read | Action::CatchUp { .. } => {
                    (index, Event::Record { record: stored.clone(), read_sent: Some(now) })
                }
                Action::Write(record) => {
                    let write_id = record.write_id;
                    let accepted = record.version == stored.version + 1;
                    if accepted {
                        *stored = record;
                    }
                    // The daemon reports the record before the outcome of the update.
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
                    panic!("unexpected action of member {me}")
                }
            };
            inbox.push(reply);
        }
    }
}
