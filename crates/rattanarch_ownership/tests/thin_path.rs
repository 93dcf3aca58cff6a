//! Two nodes join over a shared record and serve.

mod members;

use std::collections::BTreeMap;
use std::time::Duration;

use members::member;
use rattanarch_ownership::Action;
use rattanarch_ownership::Event;
use rattanarch_ownership::Node;
use rattanarch_ownership::Timing;
use rattanarch_ownership::WriteOutcome;
use rattanarch_types::Record;

const SLICES: u16 = 8;

/// Runs every node for `ticks` of 10 ms over a network and a platform without faults.
fn run(nodes: &mut [Node], stored: &mut Record, from: u32, ticks: u32) {
    for tick in from..from + ticks {
        let now = Duration::from_millis(10) * tick;
        let mut inbox: Vec<_> = (0..nodes.len()).map(|node| (node, Event::Tick)).collect();
        while let Some((index, event)) = inbox.pop() {
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
                        let conflict = WriteOutcome::Conflict(stored.clone());
                        let outcome = if accepted { WriteOutcome::Accepted } else { conflict };
                        (index, Event::Written { write_id, outcome })
                    }
                    Action::Send { to, message } => {
                        let Some(to) = nodes.iter().position(|node| node.me() == to) else {
                            continue;
                        };
                        (to, Event::Message { from: me, message })
                    }
                    Action::Quiesce { slices, hot } => {
                        (index, Event::Quiet { slices, hot, handovers: BTreeMap::new() })
                    }
                    Action::Fence { .. } | Action::Rejoin | Action::Left => {
                        panic!("member {me} is out")
                    }
                };
                inbox.push(answer);
            }
        }
    }
}

#[test]
fn alone_serves() {
    let mut nodes = [Node::new(1, member("a"), Timing::default(), 1)];
    let mut stored = Record::new("trade-desk", SLICES);
    run(&mut nodes, &mut stored, 1, 100);
    assert_eq!(stored.owners, vec![Some(1); usize::from(SLICES)]);
    assert_eq!(nodes[0].serving().check(Duration::from_secs(1), 0), Ok(()));
}

#[test]
fn pair_joins() {
    let mut nodes = ["a", "b"].map(|name| {
        let id = u64::from(name.as_bytes()[0]);
        Node::new(id, member(name), Timing::default(), id)
    });
    let mut stored = Record::new("trade-desk", SLICES);
    run(&mut nodes, &mut stored, 1, 100);
    assert_eq!(stored.members.len(), 2);
    assert_eq!(stored.check(), Ok(()));
}
