//! A new term is written only once its acknowledgements outlast every grant under the old term.
//!
//! The model (docs/MODEL.md) found this fault. 5,000 random schedules do not reach it, since updates must
//! fail for a second while only requests to the new witnesses are lost; so this test drives one node
//! directly.

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

/// Send time of the newest request that each witness acknowledged.
type LatestAcks = BTreeMap<u64, Moment>;

/// Bars the old witness and fails the first `max_failures` updates; from then on the new witness acknowledges
/// one more request and receives no others. Returns the end of the latest grant and the send time of the request
/// that the new witness acknowledged last, both as of the next update, if there is one.
fn late_update(rules: Rules, max_failures: u32) -> Option<(Moment, Moment)> {
    let mut node = Node::new(OWNER, witnessed("1", 0), Timing::default(), 1).with_rules(rules);
    let start = Duration::from_secs(1);
    let mut inbox = vec![
        Event::ExcludedMembers { excluded: vec![OLD], lost: Vec::new() },
        Event::Record { record: record(), read_sent: Some(start) },
    ];
    let mut acked = LatestAcks::new();
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
                    Action::Write(record) if failures < max_failures => {
                        failures += 1;
                        acked.remove(&NEW);
                        let outcome = WriteOutcome::Failed;
                        inbox.push(Event::Written { write_id: record.write_id, outcome });
                    }
                    Action::Write(_) => return Some((granted?, acked[&NEW])),
                    Action::Send { to, message: Message::Renew { term, sent, record, load } } => {
                        let received =
                            to == OLD || failures < max_failures || !acked.contains_key(&NEW);
                        if received {
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

/// Whether a grant may outlast the lease that a sealer of the new term waits out, after some number of failed
/// updates. The number matters since the backoff after them decides whether a heartbeat falls into it.
fn grant_outlasts_ack(rules: Rules) -> bool {
    let updates = (0..8).filter_map(|failures| late_update(rules, failures));
    let outlasts = |(granted, newest)| granted > newest + Timing::default().lease;
    updates.into_iter().any(outlasts)
}

#[test]
fn waits_for_cover() {
    assert!(!grant_outlasts_ack(Rules::default()));
}

#[test]
fn violated_without_rule() {
    assert!(grant_outlasts_ack(Rules { cover_grants: false, ..Rules::default() }));
}
