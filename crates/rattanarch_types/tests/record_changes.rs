//! Whom a change of a record concerns.

use std::collections::BTreeSet;

use rattanarch_types::BootId;
use rattanarch_types::Member;
use rattanarch_types::Record;

fn boot(number: u64) -> BootId {
    BootId::from(number)
}

fn record(members: u64) -> Record {
    let mut record = Record::new("trade-desk", 8);
    record.version = 5;
    for number in 1..=members {
        let address = format!("10.0.0.{number}:1").parse().expect("an address");
        let member = Member {
            instance: format!("slot-{number}"),
            data_centre: "dc".to_owned(),
            peer: address,
            caller: address,
            slots: 18,
            fence: 0,
            term: 1,
            witnesses: vec![boot(number % members + 1)],
            leaving: false,
        };
        record.members.insert(boot(number), member);
    }
    for (slice, owner) in record.owners.iter_mut().enumerate() {
        *owner = Some(boot(slice as u64 % members + 1));
    }
    record
}

/// Of many members, only those that gain slices are concerned by a move.
#[test]
fn gained_slices() {
    let before = record(6);
    let mut after = before.clone();
    after.owners[0] = Some(boot(4));
    assert_eq!(after.concerned_since(&before), BTreeSet::from([boot(4)]));
    assert!(before.concerned_since(&before).is_empty());
}

/// A new member and its witnesses are concerned, and a member that changes its witnesses.
#[test]
fn changed_members() {
    let after = record(6);
    let mut before = after.clone();
    before.members.remove(&boot(3));
    before.owners[2] = Some(boot(2));
    assert_eq!(after.concerned_since(&before), BTreeSet::from([boot(3), boot(4)]));
    let mut before = after.clone();
    before.members.get_mut(&boot(1)).expect("a member").witnesses = vec![boot(6)];
    assert_eq!(after.concerned_since(&before), BTreeSet::from([boot(1), boot(2)]));
}

/// A member whose witness has ended has to find another.
#[test]
fn lost_witness() {
    let before = record(6);
    let mut after = before.clone();
    let old = after.members.remove(&boot(3)).expect("a member");
    after.members.insert(boot(13), Member { term: 2, ..old });
    // The second has the third as its witness, whose successor has the fourth.
    assert_eq!(after.concerned_since(&before), BTreeSet::from([boot(2), boot(4), boot(13)]));
}
