//! Random schedules of faults of upstreams and daemons: no two upstreams hold a slice at once, each takes a slice under
//! a fence above all that other lives had, and every slice is held again after the faults.
//!
//! `RATTANARCH_SEEDS=n` also runs the search seeds from 1,000 to 999 + n, which differ from the fixed ones.

mod harness;

use std::env;

use harness::Counts;
use harness::MachineFault;
use harness::Simulation;
use harness::SimulationSettings;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;

/// Size for quickcheck, above the number of faults in a schedule.
const MAX_FAULTS: usize = 24;
/// Number of schedules that are run for each search seed.
const SCHEDULES: u64 = 20;

#[allow(clippy::needless_pass_by_value, reason = "quickcheck passes by value")]
fn run(faults: Vec<MachineFault>, seed: u64, slots: u8) -> TestResult {
    let slots = 2 + usize::from(slots % 5);
    let settings = SimulationSettings::with_machines(seed, slots);
    let mut sim = Simulation::new(settings);
    if let Err(error) = sim.run_machine_schedule(&faults) {
        let interval = settings.fault_interval_ms;
        return TestResult::error(format!("{slots} slots, {error}, fault interval {interval} ms"));
    }
    TestResult::passed()
}

fn search(search_seed: u64) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(MAX_FAULTS, search_seed))
        .tests(SCHEDULES)
        .quickcheck(run as fn(Vec<MachineFault>, u64, u8) -> TestResult);
}

#[test]
fn fixed_seeds() {
    (1..=5).for_each(search);
}

#[test]
fn more_seeds() {
    let seeds = env::var("RATTANARCH_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    (0..seeds.unwrap_or(0)).for_each(|seed| search(1_000 + seed));
}

/// Guards against schedules that no longer reach what they are to check, whatever they find.
#[test]
fn cases_reached() {
    let mut counts = Vec::new();
    for seed in 1..=20 {
        let mut g = Gen::from_size_and_seed(MAX_FAULTS, seed);
        let faults: Vec<MachineFault> = Vec::arbitrary(&mut g);
        let mut sim = Simulation::new(SimulationSettings::with_machines(u64::arbitrary(&mut g), 4));
        let _ = sim.run_machine_schedule(&faults);
        counts.push(sim.counts);
    }
    let sum = |of: fn(&Counts) -> u64| counts.iter().map(of).sum::<u64>();
    let sums = [
        sum(|counts| counts.takes),
        sum(|counts| counts.kept_fences),
        sum(|counts| counts.skips),
        sum(|counts| counts.old_first_heartbeats),
        sum(|counts| counts.new_lives),
    ];
    eprintln!("{sums:?}, {} rows rejected", sum(|counts| counts.rejected_rows));
    assert!(sums.iter().all(|sum| *sum > 0), "{sums:?}");
}
