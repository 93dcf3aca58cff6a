//! A new term is written only when its acknowledgements outlast every grant of the old term.
//!
//! Found by the model (docs/MODEL.md). Random schedules do not meet it in 5,000 tries, since it
//! needs updates that fail for a second while requests to the new witnesses alone are lost; so one
//! node is led there by hand.

mod members;

use std::collections::BTreeMap;
use std::time::Duration;

use members::member;
use rattanarch_ownership::Action;
use rattanarch_ownership::Event;
use rattanarch_ownership::Message;
use rattanarch_ownership::Node;
use rattanarch_ownership::Rules;
use rattanarch_ownership::Timing;
use rattanarch_ownership::WriteOutcome;
use rattanarch_types::Member;
use rattanarch_types::Moment;
use rattanarch_types::Record;

const OWNER: u64 = 1;
const OLD: u64 = 2;
const NEW: u64 = 3;
const TERM: u64 = 3;
const TICK: Duration = Duration::from_millis(10);

fn witnessed(name: &str, witness: u64) -> Member {
    Member { term: TERM, witnesses: vec![witness], ..member(name) }
}

fn record() -> Record {
    let mut record = Record::new("trade-desk", 1);
    record.version = TERM;
    record.owners = vec![Some(OWNER)];
    let members = [(OWNER, OLD), (OLD, NEW), (NEW, OLD)];
    record.members = members.map(|(id, by)| (id, witnessed(&id.to_string(), by))).into();
    record
}

/// The newest request that each witness acknowledged.
type Acked = BTreeMap<u64, Moment>;

/// Bars the old witness and fails the first `fails` updates; from then on the new witness hears
/// nothing any more. Returns the end of the latest grant and the new witness's newest
/// acknowledgement at the next update, if there is one.
fn late_update(rules: Rules, fails: u32) -> Option<(Moment, Moment)> {
    let mut node = Node::new(OWNER, witnessed("1", 0), Timing::default(), 1).with_rules(rules);
    let start = Duration::from_secs(1);
    let mut inbox = vec![
        Event::Intent { barred: vec![OLD], lost: Vec::new() },
        Event::Record { record: record(), read_sent: Some(start) },
    ];
    let mut acked = Acked::new();
    let mut granted = None;
    let mut failures = 0;
    for tick in 0..300 {
        let now = start + TICK * tick;
        inbox.push(Event::Tick);
        while let Some(event) = inbox.pop() {
            granted = granted.max(node.serving().lease_end);
            for action in node.step(now, event) {
                match action {
                    Action::Read | Action::CatchUp { .. } => {
                        inbox.push(Event::Record { record: record(), read_sent: Some(now) });
                    }
                    Action::Write(record) if failures < fails => {
                        failures += 1;
                        acked.remove(&NEW);
                        let outcome = WriteOutcome::Failed;
                        inbox.push(Event::Written { write_id: record.write_id, outcome });
                    }
                    Action::Write(_) => return Some((granted?, acked[&NEW])),
                    Action::Send { to, message: Message::Renew { term, sent, record, load } } => {
                        let heard = to == OLD || failures < fails || !acked.contains_key(&NEW);
                        if heard {
                            acked.insert(to, sent);
                            let message = Message::Ack { term, sent, record, load };
                            inbox.push(Event::Message { from: to, message });
                        }
                    }
                    _ => {}
                }
            }
        }
    }
    None
}

/// Whether a grant may outlast what a sealer of the new term waits for, after any number of failed
/// updates: the pause after them decides whether a heartbeat falls into it.
fn is_harmed(rules: Rules) -> bool {
    let updates = (0..8).filter_map(|fails| late_update(rules, fails));
    let outlasts = |(granted, newest)| granted > newest + Timing::default().lease;
    updates.into_iter().any(outlasts)
}

#[test]
fn waits_for_cover() {
    assert!(!is_harmed(Rules::default()));
}

#[test]
fn harm_without() {
    assert!(is_harmed(Rules { cover_grants: false, ..Rules::default() }));
}
