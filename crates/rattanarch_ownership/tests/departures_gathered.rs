//! The departures of members that leave together take few updates.

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

/// Members, of which [`LEAVING`] leave together.
const COUNT: u64 = 60;
const LEAVING: usize = 24;
const SLICES: u16 = 960;

/// Most updates and lost races for all departures: leaving marks, new witnesses for owners that name a leaving member,
/// and the departures take a few updates each. Members that write for themselves would need three updates each.
const MOST_UPDATES: u64 = 18;
const MOST_RACES: u64 = 8;

/// Longest time until all have left: five heartbeats in which they still serve as witnesses, and the 500 ms that a
/// release may take.
fn longest() -> Duration {
    Timing::default().heartbeat * 5 + Duration::from_millis(500)
}

fn settled() -> Fleet {
    Fleet::settled(COUNT, SLICES, |id| Member { fence: 1, ..member(&format!("m{id}")) })
}

/// Many members stop at once: after a few updates they are marked, replaced as witnesses and removed, and all slices
/// have owners.
#[test]
fn left_together() {
    let mut fleet = settled();
    let (updates, races) = (fleet.updates, fleet.races);
    for index in 0..LEAVING {
        fleet.deliver(index, Event::Stop);
    }
    let stays = |id: &BootId| *id > LEAVING as BootId;
    let took = fleet.run_until(|fleet| fleet.stored.members.keys().all(stays));
    let (updates, races) = (fleet.updates - updates, fleet.races - races);
    assert!(fleet.stored.owners.iter().all(|owner| owner.is_some_and(|id| stays(&id))));
    assert!(updates <= MOST_UPDATES, "{updates} updates, {races} races, {took:?}");
    assert!(races <= MOST_RACES, "{updates} updates, {races} races, {took:?}");
    assert!(took <= longest(), "{took:?}, {:?} allowed", longest());
}

/// A departure is not written while the member owns slices that it does not hold, or is not marked as leaving.
#[test]
fn held_alone() {
    let mut record = Record::new("trade-desk", 4);
    let leaving = Member { leaving: true, ..member("m1") };
    record.members.extend([(1, leaving), (2, member("m2"))]);
    record.owners = vec![Some(1), Some(1), Some(2), Some(2)];
    let write = |record: &Record, departure: Departure| {
        let mut batcher = Batcher::new(7).with_spread(Spread::ByLoad);
        batcher.add(Duration::ZERO, departure.into());
        let no_members = BTreeSet::new();
        batcher.draft(Duration::from_secs(1), record, &no_members, &no_members)
    };
    let leave = |id, releasing: &[u16]| Departure::Leave {
        id,
        releasing: releasing.iter().copied().collect(),
    };
    assert_eq!(write(&record, leave(1, &[0])), None);
    assert_eq!(write(&record, leave(2, &[2, 3])), None);
    let done = write(&record, leave(1, &[0, 1, 3])).expect("the update is due");
    assert_eq!(done.owners, vec![Some(2); 4]);
    assert_eq!(write(&done, leave(1, &[0, 1, 3])), None);
    assert_eq!(write(&record, Departure::Mark { id: 1 }), None);
    let marked = write(&record, Departure::Mark { id: 2 }).expect("the update is due");
    assert!(marked.members[&2].leaving);
}
