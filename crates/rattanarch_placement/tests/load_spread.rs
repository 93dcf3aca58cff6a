//! Spreading slices by load.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use rattanarch_placement::Spread;
use rattanarch_types::Record;

use support::service;

const SLICES: u16 = 4_096;

/// Largest number of ranges that one member may own: their list has to fit into the response to a heartbeat.
const MAX_RANGES: usize = 170;

fn counts(record: &Record) -> BTreeMap<u64, usize> {
    let mut counts = BTreeMap::new();
    for owner in record.owners.iter().flatten() {
        *counts.entry(*owner).or_default() += 1;
    }
    counts
}

fn ranges(record: &Record, member: u64) -> usize {
    record.owners.chunk_by(|a, b| a == b).filter(|run| run[0] == Some(member)).count()
}

/// Slices of an empty service are assigned evenly, in few ranges per member.
#[test]
fn assigns_blocks() {
    for members in [1, 2, 3, 9, 46] {
        let mut record = service(members, 3, SLICES);
        record.owners.fill(None);
        Spread::ByLoad.assign_unowned(&mut record, &BTreeSet::new());
        let counts = counts(&record);
        assert_eq!(counts.len(), members as usize);
        let (most, least) = (counts.values().max().unwrap(), counts.values().min().unwrap());
        assert!(most - least <= 16, "{members} members: {least} to {most}");
        for member in counts.keys() {
            assert!(ranges(&record, *member) <= MAX_RANGES, "{members} members");
        }
    }
}

/// The slices of a lost member go to all others in equal parts, however few slices they own.
#[test]
fn loss_is_shared() {
    let mut record = service(9, 3, SLICES);
    record.owners.fill(None);
    Spread::ByLoad.assign_unowned(&mut record, &BTreeSet::new());
    // A member with busy slices owns few of them.
    let busy = *record.members.keys().next().unwrap();
    let lost = *record.members.keys().nth(4).unwrap();
    let other = *record.members.keys().nth(5).unwrap();
    for owner in record.owners.iter_mut().filter(|owner| **owner == Some(busy)).skip(10) {
        *owner = Some(other);
    }
    record.members.remove(&lost);
    for owner in record.owners.iter_mut().filter(|owner| **owner == Some(lost)) {
        *owner = None;
    }
    let before = counts(&record);
    Spread::ByLoad.assign_unowned(&mut record, &BTreeSet::new());
    let after = counts(&record);
    for member in record.members.keys() {
        let gained = after[member] - before[member];
        assert!((24..=96).contains(&gained), "member {member:x} gained {gained} of 455");
    }
}

/// A new member gets slices; a member that owns few because of their load gets none.
#[test]
fn only_new_member() {
    let mut record = service(10, 3, SLICES);
    record.owners.fill(None);
    let new_member = *record.members.keys().nth(3).unwrap();
    let few = *record.members.keys().nth(6).unwrap();
    let excluded: BTreeSet<u64> = [new_member, few].into();
    Spread::ByLoad.assign_unowned(&mut record, &excluded);
    record.owners[7] = Some(few);
    let moves = Spread::ByLoad.plan_moves(&record, &BTreeSet::new());
    assert!(!moves.is_empty());
    assert!(moves.iter().all(|change| change.to == new_member));
}

/// Excluded members give up all their slices, and no other slice moves.
#[test]
fn excluded_give_up() {
    let mut record = service(9, 3, SLICES);
    record.owners.fill(None);
    Spread::ByLoad.assign_unowned(&mut record, &BTreeSet::new());
    let excluded = *record.members.keys().nth(2).unwrap();
    let moves = Spread::ByLoad.plan_moves(&record, &[excluded].into());
    assert_eq!(moves.len(), record.slices_of(excluded).count());
    assert!(moves.iter().all(|change| change.from == excluded));
    assert!(Spread::ByLoad.plan_moves(&record, &BTreeSet::new()).is_empty());
}

/// CPU time that one update may take: 1.6 % of a core at one update per second.
const UPDATE_TIME: Duration = Duration::from_millis(16);

/// A member of a large service that hands over a few slices assigns only those, in little time: after each
/// conflicting write it does so again.
#[test]
fn few_missing() {
    let mut record = service(196, 6, 4_096);
    Spread::ByLoad.assign_unowned(&mut record, &BTreeSet::new());
    let began = Instant::now();
    for _ in 0..10 {
        record.owners[77] = None;
        Spread::ByLoad.assign_unowned(&mut record, &BTreeSet::new());
        assert!(record.owners[77].is_some());
    }
    assert!(began.elapsed() < UPDATE_TIME * 10, "{:?}", began.elapsed());
}
