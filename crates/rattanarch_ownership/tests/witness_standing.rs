//! Which witnesses may acknowledge leases. Without this rule, random schedules find no violation within the limit of
//! `mutants.rs`, so this test drives one witness directly.

mod members;

use std::time::Duration;

use members::member;
use rattanarch_ownership::Action;
use rattanarch_ownership::Event;
use rattanarch_ownership::Message;
use rattanarch_ownership::Node;
use rattanarch_ownership::Rules;
use rattanarch_ownership::Timing;
use rattanarch_types::BootId;
use rattanarch_types::Member;
use rattanarch_types::Moment;
use rattanarch_types::Record;

const OWNER: BootId = 1;
const WITNESS: BootId = 2;

fn witnessed(name: &str, witness: BootId) -> Member {
    Member { term: 1, witnesses: vec![witness], ..member(name) }
}

fn record() -> Record {
    let mut record = Record::new("trade-desk", 4);
    record.version = 1;
    record.members.insert(OWNER, witnessed("a", WITNESS));
    record.members.insert(WITNESS, witnessed("b", OWNER));
    record.owners = vec![Some(OWNER); 4];
    record
}

/// Whether the witness acknowledges a request that arrives `delay` after the platform last showed it as a member.
fn acknowledges(rules: Rules, delay: Duration) -> bool {
    let mut now: Moment = Duration::from_secs(100);
    let mut node =
        Node::new(WITNESS, witnessed("b", OWNER), Timing::default(), 1).with_rules(rules);
    node.step(now, Event::Record { record: record(), read_sent: Some(now) });
    node.step(now, Event::Tick);
    now += delay;
    let message = Message::Renew { term: 1, sent: now, record: 1, load: 0 };
    let actions = node.step(now, Event::Message { from: OWNER, message });
    let is_ack = |action: &Action| {
        matches!(action, Action::Send { to: OWNER, message: Message::Ack { .. } })
    };
    actions.iter().any(is_ack)
}

/// A witness that may have been removed without knowing it acknowledges no lease: a sealer regards its acknowledgements
/// as lapsed two leases after the record without it.
#[test]
fn lapsed_witness() {
    let lease = Timing::default().lease;
    assert!(acknowledges(Rules::default(), lease / 2));
    assert!(!acknowledges(Rules::default(), lease * 2));
    let without = Rules { witness_standing: false, ..Rules::default() };
    assert!(acknowledges(without, lease * 2));
}
