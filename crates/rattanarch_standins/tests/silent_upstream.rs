//! The keys of a frozen upstream move, and it starts nothing under its old grant after it resumes.
//!
//! Requests wait in its sockets until then. If it ran them, a key would be served by two owners.

mod support;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use rattanarch_standins::Journal;
use rattanarch_standins::JournalEvent;
use rattanarch_standins::moved_slices;
use rattanarch_types::Fence;

fn last_fence(journal: &Journal) -> Fence {
    let fences = journal.entries.iter().filter_map(|entry| match entry.event {
        JournalEvent::Grant { fence, .. } => Some(fence),
        _ => None,
    });
    fences.max().expect("a grant")
}

/// Number of requests started after `after_us` under a fence up to `old`.
fn started(journal: &Journal, old: Fence, after_us: u64) -> usize {
    let late = journal.entries.iter().filter(|entry| entry.at_us > after_us);
    let is_old = |event: &JournalEvent| matches!(event, JournalEvent::Started { fence: Some(fence), .. } if *fence <= old);
    late.filter(|entry| is_old(&entry.event)).count()
}

#[test]
fn upstream_frozen() {
    let mut fleet = support::start_fleet(5);
    let before = fleet.record("trade-desk").unwrap();
    support::slow_upstreams(&fleet);
    let load = support::start_load(&fleet, 8);
    thread::sleep(Duration::from_secs(2));
    let old = last_fence(&fleet.slots[0].journal().unwrap());
    fleet.slots[0].upstream().pause().unwrap();
    let start = Instant::now();
    let after = fleet.wait_reassigned("trade-desk", "trade-desk-1", support::TIMEOUT).unwrap();
    eprintln!("slices of the frozen upstream moved after {} ms", start.elapsed().as_millis());
    eprintln!("slices moved: {}", moved_slices(&before, &after));
    thread::sleep(Duration::from_secs(1));
    // The newest entry of another upstream gives a time before the frozen one resumes.
    let before_us = fleet.slots[1].journal().unwrap().entries.back().unwrap().at_us;
    fleet.slots[0].upstream().resume().unwrap();
    support::finish_load(&fleet, load);
    assert_eq!(started(&fleet.slots[0].journal().unwrap(), old, before_us), 0);
    fleet.wait_serving(support::TIMEOUT).unwrap();
}
