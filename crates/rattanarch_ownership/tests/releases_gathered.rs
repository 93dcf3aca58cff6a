//! The releases of many members take few updates.

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

/// Members that release slices together.
const COUNT: u64 = 64;
const SLICES: u16 = 1_024;

/// Most updates and lost races for all releases. Members that write for themselves would need an update each.
const MOST_UPDATES: u64 = 8;
const MOST_RACES: u64 = COUNT + 8;

/// Longest time for which a member may hold released slices while all batchers answer: a quarter of the 2 s within
/// which a lost key is served again.
const LONGEST_HOLD: Duration = Duration::from_millis(500);

fn settled() -> Fleet {
    Fleet::settled(COUNT, SLICES, |id| Member { fence: 1, ..member(&format!("m{id}")) })
}

/// Has each member release a slice to the next one; returns the moves.
fn release_all(fleet: &mut Fleet) -> BTreeMap<u16, BootId> {
    let first = |id: BootId| fleet.stored.slices_of(id).next().expect("it owns some");
    let moves: BTreeMap<u16, BootId> = (1..=COUNT).map(|id| (first(id), id % COUNT + 1)).collect();
    for index in 0..COUNT as usize {
        let me = index as BootId + 1;
        let is_mine = |slice: &u16| fleet.stored.owners[usize::from(*slice)] == Some(me);
        let own_moves: BTreeMap<_, _> =
            moves.clone().into_iter().filter(|(slice, _)| is_mine(slice)).collect();
        // The first window only confirms that the platform answers.
        fleet.deliver(index, Event::ReleaseWindow { moves: own_moves.clone() });
        fleet.deliver(index, Event::ReleaseWindow { moves: own_moves });
    }
    moves
}

fn are_done(moves: &BTreeMap<u16, BootId>) -> impl Fn(&Fleet) -> bool {
    |fleet| moves.iter().all(|(slice, to)| fleet.stored.owners[usize::from(*slice)] == Some(*to))
}

/// All slices move in a few updates, and no member holds its slices for long.
#[test]
fn few_updates() {
    let mut fleet = settled();
    let (updates, races) = (fleet.updates, fleet.races);
    let moves = release_all(&mut fleet);
    let took = fleet.run_until(are_done(&moves));
    let (updates, races) = (fleet.updates - updates, fleet.races - races);
    assert!(updates <= MOST_UPDATES, "{updates} updates");
    assert!(races <= MOST_RACES, "{races} races");
    assert!(took < LONGEST_HOLD, "{took:?}");
    fleet.step();
    let releasing = |node: &&Node| !node.serving().releasing.is_empty();
    assert_eq!(
        fleet.nodes.iter().filter(releasing).count(),
        0,
        "a member is still releasing slices"
    );
}

/// Silent batchers cost a bounded delay: four requests without an answer, then each member writes its own update.
#[test]
fn silent_batchers() {
    let mut fleet = settled();
    let mut order: Vec<BootId> = fleet.stored.members.keys().copied().collect();
    order.sort_by_key(|id| std::cmp::Reverse(rattanarch_placement::rendezvous_weight(0, *id)));
    fleet.silent.extend(order[..2].iter().map(|id| *id as usize - 1));
    let moves = release_all(&mut fleet);
    let took = fleet.run_until(are_done(&moves));
    assert!(took < LONGEST_HOLD + Duration::from_millis(900), "{took:?}");
}

/// An excluded member gets none of its slices back, even if only its own daemon knows that it is excluded.
#[test]
fn excluded_owner() {
    let mut record = Record::new("trade-desk", 8);
    record.members.extend([(1, member("m1")), (2, member("m2"))]);
    record.owners = (0..8).map(|slice| Some(if slice < 7 { 2 } else { 1 })).collect();
    let request = |excluded| ReleaseRequest {
        id: 1,
        number: 0,
        slices: [(7, None)].into(),
        handovers: BTreeMap::new(),
        noted: Vec::new(),
        excluded,
    };
    let write = |request: ReleaseRequest| {
        let mut batcher = Batcher::new(7).with_spread(Spread::ByLoad);
        batcher.add(Duration::ZERO, request.into());
        let no_members = BTreeSet::new();
        batcher
            .draft(Duration::from_secs(1), &record, &no_members, &no_members)
            .expect("the update is due")
    };
    assert_eq!(write(request(true)).owners[7], Some(2));
    assert_eq!(write(request(false)).owners[7], Some(1), "it is the least loaded member otherwise");
}

/// A late copy of a request does not move slices that its member has got back since.
#[test]
fn late_copy() {
    let mut record = Record::new("trade-desk", 4);
    record.members.extend([(1, member("m1")), (2, member("m2"))]);
    record.owners = vec![Some(1); 4];
    let request = ReleaseRequest {
        id: 1,
        number: 0,
        slices: [(3, Some(2))].into(),
        handovers: [(3, "token".to_owned())].into(),
        noted: vec![0],
        excluded: false,
    };
    record.handovers.insert(0, "older".to_owned());
    record.handovers.insert(1, "other".to_owned());
    let no_members = BTreeSet::new();
    let later = Duration::from_secs(1);
    let write = |record: &Record, rules: Rules| {
        let batcher = Batcher::new(7).with_spread(Spread::ByLoad);
        let mut batcher = batcher.with_rules(rules);
        batcher.add(Duration::ZERO, request.clone().into());
        batcher.draft(later, record, &no_members, &no_members)
    };
    let done = write(&record, Rules::default()).expect("the update is due");
    assert_eq!((done.owners[3], done.handovers[&3].as_str()), (Some(2), "token"));
    let left: Vec<u16> = done.handovers.keys().copied().collect();
    assert_eq!(left, [1, 3], "the handover that the member has read is removed");
    // Member 2 then releases the slice back to member 1.
    let back = Record { version: done.version + 1, owners: record.owners.clone(), ..done };
    assert_eq!(write(&back, Rules::default()), None);
    let rules = Rules { numbered_releases: false, ..Rules::default() };
    assert!(write(&back, rules).is_some(), "without the release number the late copy applies");
}
