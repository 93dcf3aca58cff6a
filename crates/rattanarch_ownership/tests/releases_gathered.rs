//! Slices that many members give away together, in few updates.

mod fleet;
mod members;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use fleet::Fleet;
use members::member;
use rattanarch_ownership::Batcher;
use rattanarch_ownership::Event;
use rattanarch_ownership::Node;
use rattanarch_ownership::ReleaseRequest;
use rattanarch_ownership::Rules;
use rattanarch_placement::Spread;
use rattanarch_types::BootId;
use rattanarch_types::Member;
use rattanarch_types::Record;

/// Members that give slices away together.
const COUNT: u64 = 64;
const SLICES: u16 = 1_024;

/// Most updates and lost races that may hand the slices over; each alone would need an update of its own.
const MOST_UPDATES: u64 = 8;
const MOST_RACES: u64 = COUNT + 8;

/// Longest time that slices may be held by a giver that has nobody else to wait for: a quarter of the two
/// seconds in which a lost key is served again.
const LONGEST_HOLD: Duration = Duration::from_millis(500);

fn settled() -> Fleet {
    Fleet::settled(COUNT, SLICES, |id| Member { fence: 1, ..member(&format!("m{id}")) })
}

/// Has each member give a slice to the next one; returns which.
fn give_all(fleet: &mut Fleet) -> BTreeMap<u16, BootId> {
    let first = |id: BootId| fleet.stored.slices_of(id).next().expect("it owns some");
    let moves: BTreeMap<u16, BootId> = (1..=COUNT).map(|id| (first(id), id % COUNT + 1)).collect();
    for index in 0..COUNT as usize {
        let me = index as BootId + 1;
        let is_mine = |slice: &u16| fleet.stored.owners[usize::from(*slice)] == Some(me);
        let relief: BTreeMap<_, _> =
            moves.clone().into_iter().filter(|(slice, _)| is_mine(slice)).collect();
        // The first makes sure of the platform.
        fleet.give(index, Event::ReleaseWindow { moves: relief.clone() });
        fleet.give(index, Event::ReleaseWindow { moves: relief });
    }
    moves
}

fn are_done(moves: &BTreeMap<u16, BootId>) -> impl Fn(&Fleet) -> bool {
    |fleet| moves.iter().all(|(slice, to)| fleet.stored.owners[usize::from(*slice)] == Some(*to))
}

/// All hand over in a few updates, and none holds its slices for long.
#[test]
fn few_updates() {
    let mut fleet = settled();
    let (updates, races) = (fleet.updates, fleet.races);
    let moves = give_all(&mut fleet);
    let took = fleet.run_until(are_done(&moves));
    let (updates, races) = (fleet.updates - updates, fleet.races - races);
    assert!(updates <= MOST_UPDATES, "{updates} updates");
    assert!(races <= MOST_RACES, "{races} races");
    assert!(took < LONGEST_HOLD, "{took:?}");
    fleet.step();
    let held = |node: &&Node| !node.serving().held.is_empty();
    assert_eq!(fleet.nodes.iter().filter(held).count(), 0, "nothing is held any more");
}

/// Silent gatherers cost a bounded delay: four that are asked in vain, then each writes for itself.
#[test]
fn silent_gatherers() {
    let mut fleet = settled();
    let mut order: Vec<BootId> = fleet.stored.members.keys().copied().collect();
    order.sort_by_key(|id| std::cmp::Reverse(rattanarch_placement::rendezvous_weight(0, *id)));
    fleet.silent.extend(order[..2].iter().map(|id| *id as usize - 1));
    let moves = give_all(&mut fleet);
    let took = fleet.run_until(are_done(&moves));
    assert!(took < LONGEST_HOLD + Duration::from_millis(900), "{took:?}");
}

/// A giver that is to own nothing, of which only its own daemon knows, gets nothing back.
#[test]
fn barred_giver() {
    let mut record = Record::new("trade-desk", 8);
    record.members.extend([(1, member("m1")), (2, member("m2"))]);
    record.owners = (0..8).map(|slice| Some(if slice < 7 { 2 } else { 1 })).collect();
    let surrender = |barred| ReleaseRequest {
        id: 1,
        number: 0,
        slices: [(7, None)].into(),
        handovers: BTreeMap::new(),
        noted: Vec::new(),
        barred,
    };
    let write = |surrender: ReleaseRequest| {
        let mut gatherer = Batcher::new(7).with_spread(Spread::ByLoad);
        gatherer.add(Duration::ZERO, surrender.into());
        let nobody = BTreeSet::new();
        gatherer.draft(Duration::from_secs(1), &record, &nobody, &nobody).expect("it is due")
    };
    assert_eq!(write(surrender(true)).owners[7], Some(2));
    assert_eq!(write(surrender(false)).owners[7], Some(1), "the least loaded otherwise");
}

/// A late copy of a wish does not take slices that its member has got back since.
#[test]
fn late_copy() {
    let mut record = Record::new("trade-desk", 4);
    record.members.extend([(1, member("m1")), (2, member("m2"))]);
    record.owners = vec![Some(1); 4];
    let surrender = ReleaseRequest {
        id: 1,
        number: 0,
        slices: [(3, Some(2))].into(),
        handovers: [(3, "token".to_owned())].into(),
        noted: vec![0],
        barred: false,
    };
    record.handovers.insert(0, "older".to_owned());
    record.handovers.insert(1, "other".to_owned());
    let nobody = BTreeSet::new();
    let later = Duration::from_secs(1);
    let write = |record: &Record, rules: Rules| {
        let gatherer = Batcher::new(7).with_spread(Spread::ByLoad);
        let mut gatherer = gatherer.with_rules(rules);
        gatherer.add(Duration::ZERO, surrender.clone().into());
        gatherer.draft(later, record, &nobody, &nobody)
    };
    let done = write(&record, Rules::default()).expect("it is due");
    assert_eq!((done.owners[3], done.handovers[&3].as_str()), (Some(2), "token"));
    let left: Vec<u16> = done.handovers.keys().copied().collect();
    assert_eq!(left, [1, 3], "what was taken note of is dropped");
    // The second gives it back at its own wish.
    let back = Record { version: done.version + 1, owners: record.owners.clone(), ..done };
    assert_eq!(write(&back, Rules::default()), None);
    let rules = Rules { numbered_releases: false, ..Rules::default() };
    assert!(write(&back, rules).is_some(), "the number alone keeps it");
}
