//! Random schedules of faults violate no invariant, and every key is served again after them.
//!
//! `RATTANARCH_SEEDS=n` also runs the search seeds from 1,000 to 999 + n, which differ from the fixed ones.

mod harness;

use std::env;

use harness::Fault;
use harness::Simulation;
use harness::SimulationSettings;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;

/// Size for quickcheck, above the number of faults in a schedule.
const MAX_FAULTS: usize = 24;
/// Number of schedules that are run for each search seed.
const SCHEDULES: u64 = 20;

#[allow(clippy::needless_pass_by_value, reason = "quickcheck passes by value")]
fn run(faults: Vec<Fault>, seed: u64, slots: u8) -> TestResult {
    let slots = 2 + usize::from(slots % 8);
    let fault_interval_ms = 200 + seed % 1_300;
    for batching in [false, true] {
        let settings = SimulationSettings {
            seed,
            slots,
            fault_interval_ms,
            batching,
            ..SimulationSettings::default()
        };
        if let Err(error) = Simulation::new(settings).run_schedule(&faults) {
            let error = format!(
                "{slots} slots, {error}, fault interval {fault_interval_ms} ms, batching {batching}"
            );
            return TestResult::error(error);
        }
    }
    TestResult::passed()
}

fn search(search_seed: u64) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(MAX_FAULTS, search_seed))
        .tests(SCHEDULES)
        .quickcheck(run as fn(Vec<Fault>, u64, u8) -> TestResult);
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
