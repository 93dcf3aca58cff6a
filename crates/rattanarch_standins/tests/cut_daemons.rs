//! Network partitions between daemons: no key may have two owners, and an owner that its witnesses
//! still hear keeps serving.
//!
//! An owner that loses contact with one witness must keep its slices. An owner that loses contact with
//! all peers must stop serving before its slices move, and must rejoin under a new boot id.

mod relay_support;

use std::thread;
use std::time::Duration;

use rattanarch_placement::MAX_WITNESSES;
use rattanarch_standins::Fleet;
use rattanarch_standins::JournalEvent;
use rattanarch_standins::moved_slices;
use rattanarch_types::BootId;
use rattanarch_types::Record;
use relay_support::TIMEOUT;
use relay_support::start_relayed_fleet;

/// Duration of the partition after the slices moved; longer than a takeover.
const PARTITION_TIME: Duration = Duration::from_secs(4);

/// Number of requests that the upstream of a slot has started.
fn count_started(fleet: &Fleet, slot: usize) -> usize {
    let journal = fleet.slots[slot].journal().expect("a journal");
    let is_start = |event: &JournalEvent| matches!(event, JournalEvent::Started { .. });
    journal.entries.iter().filter(|entry| is_start(&entry.event)).count()
}

fn boot_of(record: &Record, instance: &str) -> BootId {
    *record.members.iter().find(|(_, member)| member.instance == instance).expect("a member").0
}

/// Slots of the witnesses of the first slot's daemon.
fn witness_slots(fleet: &Fleet, record: &Record) -> Vec<usize> {
    let witnesses = &record.members[&boot_of(record, "trade-desk-1")].witnesses;
    let names: Vec<_> = witnesses.iter().map(|boot| &*record.members[boot].instance).collect();
    let slots = fleet.slots.iter().enumerate();
    slots.filter(|(_, slot)| names.contains(&slot.instance())).map(|(index, _)| index).collect()
}

/// Waits until every member has its full number of witnesses. An owner with a single witness is
/// correctly taken over when this witness loses it.
fn wait_for_witnesses(fleet: &Fleet) -> Record {
    let full =
        |record: &Record| record.members.values().all(|m| m.witnesses.len() == MAX_WITNESSES);
    fleet
        .wait_record("trade-desk", "members with all witnesses", TIMEOUT, full)
        .expect("all witnesses")
}

/// Partitions the first owner from one of its witnesses; no slice may move and every request must
/// succeed.
fn partition_witness(partition: impl Fn(&Fleet, usize)) {
    let fleet = start_relayed_fleet(5);
    let before = wait_for_witnesses(&fleet);
    let witness = witness_slots(&fleet, &before)[0];
    relay_support::slow_upstreams(&fleet);
    let load = relay_support::start_load(&fleet, 6);
    thread::sleep(Duration::from_secs(1));
    partition(&fleet, witness);
    let report = relay_support::finish_load(&fleet, load);
    let after = fleet.record("trade-desk").expect("a record");
    eprintln!("slices moved: {}", moved_slices(&before, &after));
    assert_eq!(report.succeeded(), report.sent(), "{report}");
    assert_eq!(moved_slices(&before, &after), 0);
}

#[test]
fn witness_outbound_lost() {
    partition_witness(|fleet, witness| fleet.drop_datagrams(witness, 0));
}

#[test]
fn witness_partitioned() {
    partition_witness(|fleet, witness| {
        fleet.drop_datagrams(witness, 0);
        fleet.drop_datagrams(0, witness);
    });
}

/// Partitions the first owner; its slices must move, it must not serve meanwhile, and must rejoin after
/// the partition.
fn partition_owner(partition: impl Fn(&Fleet)) {
    let fleet = start_relayed_fleet(5);
    let before = fleet.record("trade-desk").expect("a record");
    relay_support::slow_upstreams(&fleet);
    let load = relay_support::start_load(&fleet, 10);
    thread::sleep(Duration::from_secs(1));
    partition(&fleet);
    let moved = fleet
        .wait_reassigned("trade-desk", "trade-desk-1", relay_support::TIMEOUT)
        .expect("moved slices");
    eprintln!("slices moved: {}", moved_slices(&before, &moved));
    let at_takeover = count_started(&fleet, 0);
    thread::sleep(PARTITION_TIME);
    let at_end = count_started(&fleet, 0);
    fleet.heal();
    let report = relay_support::finish_load(&fleet, load);
    fleet.wait_balanced("trade-desk", relay_support::TIMEOUT).expect("evenly shared slices");
    fleet.wait_serving(relay_support::TIMEOUT).expect("a serving fleet");
    assert!(report.succeeded() > 0);
    assert_eq!(at_end, at_takeover, "the owner served during the partition");
    let after = fleet.record("trade-desk").expect("a record");
    let old = boot_of(&before, "trade-desk-1");
    assert!(!after.members.contains_key(&old), "the owner rejoined under its old boot id");
}

#[test]
fn owner_isolated() {
    partition_owner(|fleet| fleet.isolate_from_peers(0));
}

#[test]
fn owner_outbound_lost() {
    partition_owner(|fleet| (1..5).for_each(|other| fleet.drop_datagrams(0, other)));
}

#[test]
fn owner_inbound_lost() {
    partition_owner(|fleet| (1..5).for_each(|other| fleet.drop_datagrams(other, 0)));
}
