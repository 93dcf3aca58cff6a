//! Members that leave together, in few updates.

mod fleet;
mod members;

use std::collections::BTreeSet;
use std::time::Duration;

use fleet::Fleet;
use members::member;
use rattanarch_ownership::Batcher;
use rattanarch_ownership::Departure;
use rattanarch_ownership::Event;
use rattanarch_ownership::Timing;
use rattanarch_placement::Spread;
use rattanarch_types::BootId;
use rattanarch_types::Member;
use rattanarch_types::Record;

/// Members, and how many of them leave together.
const COUNT: u64 = 60;
const LEAVING: usize = 24;
const SLICES: u16 = 960;

/// Most updates and lost races of all departures: marks, other witnesses for those that name them, departures, each in a
/// few updates; each alone would need three of its own.
const MOST_UPDATES: u64 = 18;
const MOST_RACES: u64 = 8;

/// Longest time until all have left: five heartbeats as witnesses, and the same 500 ms as for a release.
fn longest() -> Duration {
    Timing::default().heartbeat * 5 + Duration::from_millis(500)
}

fn settled() -> Fleet {
    Fleet::settled(COUNT, SLICES, |id| Member { fence: 1, ..member(&format!("m{id}")) })
}

/// Many members stop at once: they are marked, replaced as witnesses and gone after a few updates, and their slices have
/// owners.
#[test]
fn left_together() {
    let mut fleet = settled();
    let (updates, races) = (fleet.updates, fleet.races);
    for index in 0..LEAVING {
        fleet.give(index, Event::Stop);
    }
    let stays = |id: &BootId| *id > LEAVING as BootId;
    let took = fleet.run_until(|fleet| fleet.stored.members.keys().all(stays));
    let (updates, races) = (fleet.updates - updates, fleet.races - races);
    assert!(fleet.stored.owners.iter().all(|owner| owner.is_some_and(|id| stays(&id))));
    assert!(updates <= MOST_UPDATES, "{updates} updates, {races} races, {took:?}");
    assert!(races <= MOST_RACES, "{updates} updates, {races} races, {took:?}");
    assert!(took <= longest(), "{took:?}, {:?} allowed", longest());
}

/// A member that owns more than it holds stays, and one that is not known to leave stays too.
#[test]
fn held_alone() {
    let mut record = Record::new("trade-desk", 4);
    let leaving = Member { leaving: true, ..member("m1") };
    record.members.extend([(1, leaving), (2, member("m2"))]);
    record.owners = vec![Some(1), Some(1), Some(2), Some(2)];
    let write = |record: &Record, departure: Departure| {
        let mut gatherer = Batcher::new(7).with_spread(Spread::ByLoad);
        gatherer.add(Duration::ZERO, departure.into());
        let nobody = BTreeSet::new();
        gatherer.draft(Duration::from_secs(1), record, &nobody, &nobody)
    };
    let leave = |id, held: &[u16]| Departure::Leave { id, held: held.iter().copied().collect() };
    assert_eq!(write(&record, leave(1, &[0])), None);
    assert_eq!(write(&record, leave(2, &[2, 3])), None);
    let done = write(&record, leave(1, &[0, 1, 3])).expect("it is due");
    assert_eq!(done.owners, vec![Some(2); 4]);
    assert_eq!(write(&done, leave(1, &[0, 1, 3])), None);
    assert_eq!(write(&record, Departure::Mark { id: 1 }), None);
    let marked = write(&record, Departure::Mark { id: 2 }).expect("it is due");
    assert!(marked.members[&2].leaving);
}
