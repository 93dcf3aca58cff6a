//! Bytes that callers make a process hold.

use std::time::Duration;

use quickcheck::quickcheck;
use rattanarch_admission::ByteBudget;
use rattanarch_admission::CapacityPlan;
use rattanarch_admission::FIRST_BYTES;
use rattanarch_admission::Reservation;

const MB: usize = 1 << 20;

fn at(millis: u64) -> Duration {
    Duration::from_millis(100_000 + millis)
}

fn budget() -> ByteBudget {
    ByteBudget::new(&CapacityPlan::new(160, 4_100))
}

/// Guards against a budget in which a body of the largest permitted size has no room on the smallest known machine, and
/// against shares that exceed a machine.
#[test]
fn shares_of_machines() {
    let smallest = CapacityPlan::new(160, 4_100);
    assert!(smallest.budget - smallest.first_reserve >= 64 * MB, "{smallest:?}");
    for (memory, descriptors) in [(160, 4_100), (256, 4_100), (512, 8_192), (0, 0), (32, 64)] {
        let plan = CapacityPlan::new(memory, descriptors);
        let memory = if memory == 0 { 512 } else { memory };
        let connections = plan.callers + plan.peers + 3 * plan.others;
        assert!(plan.budget + connections * (40 << 10) < memory * MB, "{plan:?}");
        assert!(descriptors == 0 || descriptors < 4_096 || connections < descriptors, "{plan:?}");
    }
}

/// Guards against bodies without progress that keep out those with progress.
#[test]
fn stalled_bodies_give_way() {
    let mut budget = budget();
    let stalled: Vec<_> = (0..8).map(|index| (budget.open(at(index)), index)).collect();
    for (key, index) in &stalled {
        assert_eq!(budget.reserve(at(*index), *key, 8 * MB), Reservation::Granted(Vec::new()));
    }
    let moving = budget.open(at(500));
    assert_eq!(budget.reserve(at(500), moving, 8 * MB), Reservation::Refused);
    budget.progress(at(900), stalled[0].0);
    let longest = stalled[1].0;
    assert_eq!(budget.reserve(at(1_500), moving, 8 * MB), Reservation::Granted(vec![longest]));
    assert!(budget.used() <= budget.limit());
}

/// Guards against long bodies that leave no room for short ones, although all make progress.
#[test]
fn first_bytes_have_room() {
    let mut budget = budget();
    let long = budget.open(at(0));
    assert_eq!(budget.reserve(at(0), long, 64 * MB), Reservation::Granted(Vec::new()));
    let mut evicted = 0;
    for _ in 0..CapacityPlan::new(160, 4_100).callers {
        let short = budget.open(at(10));
        match budget.reserve(at(10), short, FIRST_BYTES) {
            Reservation::Granted(victims) => evicted += victims.len(),
            Reservation::Refused => panic!("no room"),
        }
    }
    assert_eq!(evicted, 1);
}

/// Guards against giving up requests that run: only what is still read or written is given up.
#[test]
fn running_requests_stay() {
    let mut budget = budget();
    let running = budget.open(at(0));
    assert_eq!(budget.reserve(at(0), running, 64 * MB), Reservation::Granted(Vec::new()));
    budget.set_evictable(running, false);
    let other = budget.open(at(60_000));
    assert_eq!(budget.reserve(at(60_000), other, 32 * MB), Reservation::Refused);
    budget.close(running);
    assert_eq!(budget.reserve(at(60_000), other, 32 * MB), Reservation::Granted(Vec::new()));
}

quickcheck! {
    /// Guards against miscounted bytes: after any operations the bytes are those of the open holders, within the limit.
    fn counted_bytes(operations: Vec<(u8, u32, u16)>) -> bool {
        let mut budget = budget();
        let mut open = Vec::new();
        let mut now = 0;
        for (kind, bytes, time) in operations {
            now += u64::from(time) / 16;
            match (kind % 4, open.len()) {
                (0, _) | (_, 0) => open.push((budget.open(at(now)), 0)),
                (1, count) => budget.close(open.remove(bytes as usize % count).0),
                (_, count) => {
                    let index = bytes as usize % count;
                    let bytes = bytes as usize % (32 * MB);
                    if let Reservation::Granted(victims) = budget.reserve(at(now), open[index].0, bytes) {
                        open[index].1 += bytes;
                        open.retain(|(key, _)| !victims.contains(key));
                    }
                }
            }
        }
        let sum: usize = open.iter().map(|(_, bytes)| bytes).sum();
        sum == budget.used() && sum <= budget.limit()
    }
}

/// Guards against a load of unfinished bodies that keeps ordinary ones out: 200 clients send 8 MiB each, stop short of the
/// end and stay, while an ordinary request with a body of 2 kB arrives every 10 ms and ends after 50 ms.
#[test]
fn ordinary_beside_unfinished() {
    let mut budget = budget();
    let mut running = std::collections::VecDeque::new();
    let mut unfinished = Vec::new();
    for step in 0..3_000 {
        let now = at(step * 10);
        if step % 10 == 0 && unfinished.len() < 200 {
            unfinished.push((budget.open(now), 0));
        }
        for (key, bytes) in &mut unfinished {
            if *bytes < 8 * MB && budget.reserve(now, *key, MB / 8) != Reservation::Refused {
                *bytes += MB / 8;
                budget.progress(now, *key);
            }
        }
        let ordinary = budget.open(now);
        assert_ne!(budget.reserve(now, ordinary, 2_000), Reservation::Refused, "step {step}");
        budget.set_evictable(ordinary, false);
        running.push_back(ordinary);
        if running.len() > 5 {
            budget.close(running.pop_front().expect("it has one"));
        }
        assert!(budget.used() <= budget.limit());
    }
}
