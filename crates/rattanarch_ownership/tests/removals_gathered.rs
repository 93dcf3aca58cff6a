//! The removal of members that are lost together takes few updates.

mod fleet;
mod members;

use std::collections::BTreeSet;
use std::time::Duration;

use fleet::Fleet;
use members::member;
use rattanarch_ownership::Batcher;
use rattanarch_ownership::JoinRequest;
use rattanarch_ownership::Removal;
use rattanarch_ownership::Rules;
use rattanarch_ownership::Timing;
use rattanarch_ownership::WitnessChange;
use rattanarch_placement::Spread;
use rattanarch_types::BootId;
use rattanarch_types::Member;
use rattanarch_types::Record;

/// Members, in [`CENTRES`] data centres, of which one is lost.
const COUNT: u64 = 60;
const CENTRES: u64 = 3;
const LOST: u64 = COUNT / CENTRES;
const SLICES: u16 = 960;

/// Most updates and lost races for the removals and the new witnesses of the others. The first witness of each lost
/// member may lose one race before it asks a batcher, and batchers lose as many races as when members join.
const MOST_UPDATES: u64 = 10;
const MOST_RACES: u64 = LOST + 8;

/// Longest time until every slice has a live owner: silence is noticed after the suspicion time, a lease has to lapse,
/// and then the update may take 500 ms, as for a release.
fn longest() -> Duration {
    let timing = Timing::default();
    timing.suspicion * 2 + timing.with_drift(timing.lease) + Duration::from_millis(500)
}

fn settled() -> Fleet {
    Fleet::settled(COUNT, SLICES, |id| Member {
        fence: 1,
        data_centre: format!("centre-{}", id % CENTRES),
        ..member(&format!("m{id}"))
    })
}

/// After the loss of a data centre its slices have owners again within a few updates.
#[test]
fn lost_together() {
    let mut fleet = settled();
    let (updates, races) = (fleet.updates, fleet.races);
    let lost = |id: &BootId| id.is_multiple_of(CENTRES);
    fleet.dead = (1..=COUNT).filter(lost).map(|id| id as usize - 1).collect();
    let took = fleet.run_until(|fleet| !fleet.stored.members.keys().any(lost));
    let (updates, races) = (fleet.updates - updates, fleet.races - races);
    assert!(fleet.stored.owners.iter().flatten().all(|owner| !lost(owner)));
    assert!(fleet.stored.owners.iter().all(Option::is_some));
    assert!(updates <= MOST_UPDATES, "{updates} updates, {races} races, {took:?}");
    assert!(races <= MOST_RACES, "{updates} updates, {races} races, {took:?}");
    assert!(took <= longest(), "{took:?}, {:?} allowed", longest());
}

/// A late copy of a removal does not remove a member that has since got a new term.
#[test]
fn later_term() {
    let mut record = Record::new("trade-desk", 4);
    record.members.extend([(1, member("m1")), (2, member("m2"))]);
    record.members.insert(3, Member { term: 4, ..member("m3") });
    record.owners = vec![Some(3); 4];
    record.version = 6;
    let removal = Removal { id: 1, members: [(3, 4)].into(), suspects: [2].into() };
    let no_members = BTreeSet::new();
    let write = |record: &Record, rules: Rules| {
        let batcher = Batcher::new(7).with_spread(Spread::ByLoad);
        let mut batcher = batcher.with_rules(rules);
        batcher.add(Duration::ZERO, removal.clone().into());
        batcher.draft(Duration::from_secs(1), record, &no_members, &no_members)
    };
    let done = write(&record, Rules::default()).expect("the update is due");
    assert_eq!(done.owners, vec![Some(1); 4], "no slice goes to a suspect");
    assert!(!done.members.contains_key(&3));
    assert_eq!(write(&done, Rules::default()), None);
    let mut rejoined = record.clone();
    rejoined.members.insert(3, Member { term: 6, ..member("m3") });
    assert_eq!(write(&rejoined, Rules::default()), None);
    let rules = Rules { match_terms: false, ..Rules::default() };
    assert!(write(&rejoined, rules).is_some(), "without the match of terms the late copy applies");
}

/// A late copy of a witness change does not restore witnesses that the member has replaced since.
#[test]
fn late_change() {
    let mut record = Record::new("trade-desk", 4);
    record.members.extend([(1, Member { term: 4, witnesses: vec![2], ..member("m1") })]);
    record.members.extend([(2, member("m2")), (3, member("m3"))]);
    record.version = 6;
    let change = WitnessChange { id: 1, from: 4, term: 6, witnesses: vec![3] };
    let no_members = BTreeSet::new();
    let write = |record: &Record, rules: Rules| {
        let mut batcher = Batcher::new(7).with_rules(rules);
        batcher.add(Duration::ZERO, change.clone().into());
        batcher.draft(Duration::from_secs(1), record, &no_members, &no_members)
    };
    let done = write(&record, Rules::default()).expect("the update is due");
    let own = &done.members[&1];
    assert_eq!((own.term, &own.witnesses[..], done.version), (6, &[3][..], 7));
    assert_eq!(write(&done, Rules::default()), None);
    let mut later = done.clone();
    later.members.insert(1, Member { term: 8, witnesses: vec![2], ..member("m1") });
    assert_eq!(write(&later, Rules::default()), None);
    let rules = Rules { match_terms: false, ..Rules::default() };
    assert!(write(&later, rules).is_some(), "without the match of terms the late copy applies");
}

/// A join replaces its previous boot although the same batch has a removal of that one.
#[test]
fn newer_boot() {
    let mut record = Record::new("trade-desk", 4);
    record.members.extend([(1, member("m1")), (2, member("m2"))]);
    record.owners = vec![Some(2); 4];
    let join = JoinRequest { id: 9, member: member("m2"), old: Some(2), ended: true };
    let removal = Removal { id: 1, members: [(2, 0)].into(), suspects: BTreeSet::new() };
    let mut batcher = Batcher::new(7).with_spread(Spread::ByLoad);
    batcher.add(Duration::ZERO, removal.into());
    batcher.add(Duration::ZERO, join.into());
    let no_members = BTreeSet::new();
    let done = batcher.draft(Duration::from_secs(1), &record, &no_members, &no_members);
    let done = done.expect("the update is due");
    assert_eq!(done.owners, vec![Some(9); 4]);
    assert_eq!(done.members[&9].witnesses, vec![1]);
}
