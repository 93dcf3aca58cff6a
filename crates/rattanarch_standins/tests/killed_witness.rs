//! An owner keeps its slices and its grants when one of its witnesses is killed, and replaces the witness.
//!
//! Guards against a lease or grant that lapses because a witness is missing.

mod support;

use std::thread;
use std::time::Duration;

use rattanarch_standins::Fleet;
use rattanarch_standins::JournalEvent;
use rattanarch_standins::Outcome;
use rattanarch_standins::moved_slices;
use rattanarch_types::BootId;
use rattanarch_types::Fence;
use rattanarch_types::Record;

/// Instance of the owner under test.
const OWNER: &str = "trade-desk-1";

fn boot_of(record: &Record, instance: &str) -> Option<BootId> {
    record.members.iter().find(|(_, member)| member.instance == instance).map(|(boot, _)| *boot)
}

/// Fences of the owner's grants, and the number of its requests that the end of a grant stopped.
fn grants(fleet: &Fleet) -> (Vec<Fence>, usize) {
    let journal = fleet.slots[0].journal().expect("a journal");
    let fence = |event: &JournalEvent| match event {
        JournalEvent::Grant { fence, .. } => Some(*fence),
        _ => None,
    };
    let mut fences: Vec<_> = journal.entries.iter().filter_map(|e| fence(&e.event)).collect();
    fences.dedup();
    let stopped = |event: &JournalEvent| {
        matches!(event, JournalEvent::Ended { outcome: Outcome::GrantEnded, .. })
    };
    let stopped = journal.entries.iter().filter(|entry| stopped(&entry.event)).count();
    (fences, stopped)
}

#[test]
fn witness_killed() {
    let mut fleet = support::start_fleet(5);
    let before = support::wait_for_witnesses(&fleet);
    let owner = boot_of(&before, OWNER).unwrap();
    let witness = before.members[&before.members[&owner].witnesses[0]].instance.clone();
    let (fences, _) = grants(&fleet);
    support::slow_upstreams(&fleet);
    let load = support::start_load(&fleet, 6);
    thread::sleep(Duration::from_secs(1));
    let killed = fleet.slots.iter().position(|slot| slot.instance() == witness).unwrap();
    fleet.slots[killed].daemon().unwrap().kill().unwrap();
    let after = fleet.wait_reassigned("trade-desk", &witness, support::TIMEOUT).unwrap();
    eprintln!("slices moved: {}", moved_slices(&before, &after));
    let what = "running witnesses of the owner";
    let replaced = fleet.wait_record("trade-desk", what, support::TIMEOUT, |record| {
        let Some(member) = record.members.get(&owner) else { return false };
        let is_running = |boot: &BootId| {
            record.members.get(boot).is_some_and(|member| member.instance != witness)
        };
        !member.witnesses.is_empty() && member.witnesses.iter().all(is_running)
    });
    let replaced = replaced.unwrap();
    support::finish_load(&fleet, load);
    assert!(replaced.members[&owner].term > before.members[&owner].term);
    let slices: Vec<_> = before.slices_of(owner).collect();
    let kept = slices.iter().filter(|slice| after.owners[usize::from(**slice)] == Some(owner));
    assert_eq!(kept.count(), slices.len(), "the owner lost slices");
    assert_eq!(grants(&fleet), (fences, 0), "the owner's grants had a gap");
}
