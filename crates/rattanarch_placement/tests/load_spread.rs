//! Slices that are spread by load.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use rattanarch_placement::Spread;
use rattanarch_types::Record;

use support::service;

const SLICES: u16 = 4_096;

/// Longest list of ranges that one member may have: what fits the answer to a heartbeat.
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

/// An empty service is dealt out evenly, in short lists, and neighbours part.
#[test]
fn deals_blocks() {
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

/// What a lost member owned goes to all others, however few slices they own.
#[test]
fn loss_is_shared() {
    let mut record = service(9, 3, SLICES);
    record.owners.fill(None);
    Spread::ByLoad.assign_unowned(&mut record, &BTreeSet::new());
    // The owner of busy slices has few.
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

/// A newcomer gets slices; members that own few for their load get none.
#[test]
fn newcomer_only() {
    let mut record = service(10, 3, SLICES);
    record.owners.fill(None);
    let newcomer = *record.members.keys().nth(3).unwrap();
    let poor = *record.members.keys().nth(6).unwrap();
    let barred: BTreeSet<u64> = [newcomer, poor].into();
    Spread::ByLoad.assign_unowned(&mut record, &barred);
    record.owners[7] = Some(poor);
    let moves = Spread::ByLoad.plan_moves(&record, &BTreeSet::new());
    assert!(!moves.is_empty());
    assert!(moves.iter().all(|change| change.to == newcomer));
}

/// Members that are taken out give up everything, and nothing else moves.
#[test]
fn barred_give_up() {
    let mut record = service(9, 3, SLICES);
    record.owners.fill(None);
    Spread::ByLoad.assign_unowned(&mut record, &BTreeSet::new());
    let out = *record.members.keys().nth(2).unwrap();
    let moves = Spread::ByLoad.plan_moves(&record, &[out].into());
    assert_eq!(moves.len(), record.slices_of(out).count());
    assert!(moves.iter().all(|change| change.from == out));
    assert!(Spread::ByLoad.plan_moves(&record, &BTreeSet::new()).is_empty());
}

/// Time that one update a second may cost: 1.6 % of a core.
const UPDATE_TIME: Duration = Duration::from_millis(16);

/// A member of a large service that hands over a few slices deals out those alone: every lost race has it do so
/// once more.
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
