//! Changes of records, and the members that they affect.

use std::collections::BTreeSet;

use rattanarch_types::BootId;
use rattanarch_types::Member;
use rattanarch_types::Record;
use rattanarch_types::RecordChange;

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
            releases: 0,
            link_megabits_per_s: 0,
        };
        record.members.insert(boot(number), member);
    }
    for (slice, owner) in record.owners.iter_mut().enumerate() {
        *owner = Some(boot(slice as u64 % members + 1));
    }
    record
}

/// A move of a slice affects only the member that gains it.
#[test]
fn gained_slices() {
    let before = record(6);
    let mut after = before.clone();
    after.owners[0] = Some(boot(4));
    assert_eq!(after.affected_since(&before), BTreeSet::from([boot(4)]));
    assert!(before.affected_since(&before).is_empty());
}

/// A new member and a member with changed witnesses are affected, as are the witnesses of both.
#[test]
fn changed_members() {
    let after = record(6);
    let mut before = after.clone();
    before.members.remove(&boot(3));
    before.owners[2] = Some(boot(2));
    assert_eq!(after.affected_since(&before), BTreeSet::from([boot(3), boot(4)]));
    let mut before = after.clone();
    before.members.get_mut(&boot(1)).expect("a member").witnesses = vec![boot(6)];
    assert_eq!(after.affected_since(&before), BTreeSet::from([boot(1), boot(2)]));
}

/// A member whose witness was removed has to choose another.
#[test]
fn lost_witness() {
    let before = record(6);
    let mut after = before.clone();
    let old = after.members.remove(&boot(3)).expect("a member");
    after.members.insert(boot(13), Member { term: 2, ..old });
    // Member 3 was the witness of member 2; member 13, which replaces it, has member 4 as its witness.
    assert_eq!(after.affected_since(&before), BTreeSet::from([boot(2), boot(4), boot(13)]));
}

/// A member that released slices is affected; its witnesses are not.
#[test]
fn released_slices() {
    let before = record(6);
    let mut after = before.clone();
    after.members.get_mut(&boot(3)).expect("a member").releases += 1;
    assert_eq!(after.affected_since(&before), BTreeSet::from([boot(3)]));
}

/// `before` with a change of every kind.
fn changed(before: &Record) -> Record {
    let mut after = Record { version: before.version + 3, write_id: 77, ..before.clone() };
    let gone = after.members.remove(&boot(6)).expect("a member");
    after.members.insert(boot(7), Member { term: 8, ..gone });
    after.members.get_mut(&boot(2)).expect("a member").leaving = true;
    after.owners[5] = Some(boot(7));
    after.owners[0] = None;
    after.hot.insert(99, boot(4));
    after.handovers.insert(5, "newer".to_owned());
    after.handovers.remove(&1);
    after
}

/// Applying a change to the earlier record gives the later one, also after the change was serialized and read back.
#[test]
fn change_applied() {
    let mut before = record(6);
    before.handovers.extend([(1, "old".to_owned()), (4, "kept".to_owned())]);
    let after = changed(&before);
    let change = RecordChange::between(&before, &after).expect("a later version");
    let text = serde_json::to_string(&change).expect("it has a JSON form");
    let change: RecordChange = serde_json::from_str(&text).expect("it is read back");
    assert_eq!(change.apply(before), Some(after));
}

/// The change of one slice is much smaller than the record of a large service.
#[test]
fn change_small() {
    let mut before = record(250);
    before.owners = (0..4_096).map(|slice| Some(boot(slice % 250 + 1))).collect();
    let mut after = Record { version: 6, ..before.clone() };
    after.owners[9] = Some(boot(3));
    let change = RecordChange::between(&before, &after).expect("a later version");
    let size = |value: serde_json::Result<String>| value.expect("it has a JSON form").len();
    let (change_bytes, record_bytes) =
        (size(serde_json::to_string(&change)), size(serde_json::to_string(&after)));
    assert!(change_bytes * 100 < record_bytes, "{change_bytes} of {record_bytes} bytes");
}

/// A change applies to no other version, service or number of slices, and its result never violates an invariant.
#[test]
fn change_refused() {
    let before = record(6);
    let after = changed(&before);
    let change = RecordChange::between(&before, &after).expect("a later version");
    assert_eq!(change.apply(after.clone()), None);
    assert_eq!(change.apply(Record { service: "other".to_owned(), ..before.clone() }), None);
    let mut fewer = before.clone();
    fewer.owners.truncate(4);
    assert_eq!(change.apply(fewer.clone()), None);
    assert_eq!(RecordChange::between(&fewer, &after), None);
    assert_eq!(RecordChange::between(&after, &before), None);
    let mut without_owner = before.clone();
    without_owner.members.remove(&boot(4));
    assert_eq!(change.apply(without_owner), None, "slices of a member that does not exist");
}

/// The fencing token of a slice that was another member's in between rises, also if only the change over all versions
/// is known.
#[test]
fn tokens_of_skipped() {
    let first = record(3).with_fences();
    let mut moved = Record { version: 6, ..first.clone() };
    moved.owners[0] = Some(boot(2));
    moved.owners[1] = None;
    moved.update_fences(&first);
    let mut last = Record { version: 7, owners: first.owners.clone(), ..moved.clone() };
    last.owners[1] = Some(boot(3));
    last.update_fences(&moved);
    assert_eq!((last.fences[0], last.fences[1], last.fences[2]), (7, 7, 5));
    let whole = RecordChange::between(&first, &last).expect("a later version");
    assert_eq!(whole.apply(first.clone()), Some(last.clone()));
    let steps = [(&first, &moved), (&moved, &last)];
    let steps = steps.map(|(old, new)| RecordChange::between(old, new).expect("a later version"));
    assert_eq!(steps[1].apply(steps[0].apply(first).expect("it fits")), Some(last));
}
