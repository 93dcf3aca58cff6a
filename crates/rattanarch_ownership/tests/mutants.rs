//! Mutation tests: with a rule of the protocol turned off, the harness finds a safety violation.

mod harness;

use std::ops::RangeInclusive;

use harness::Fault;
use harness::MachineFault;
use harness::Simulation;
use harness::SimulationSettings;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use rattanarch_ownership::Rules;
use rattanarch_ownership::Timing;

/// Number of faults of one schedule.
const FAULTS: usize = 24;
/// Schedules that are tried before a rule counts as not needed.
const MAX_SCHEDULES: u64 = 2_000;

/// Seed of the first schedule that violates safety under `settings`, with a number of slots from
/// `slots` and only those faults that `kind` keeps.
fn first_violation(
    settings: SimulationSettings,
    slots: RangeInclusive<usize>,
    kind: fn(&Fault) -> bool,
) -> Option<u64> {
    (1..=MAX_SCHEDULES).find(|seed| {
        let mut g = Gen::from_size_and_seed(FAULTS, *seed);
        let mut faults = Vec::<Fault>::arbitrary(&mut g);
        faults.retain(kind);
        let span = slots.end() - slots.start() + 1;
        let slots = slots.start() + usize::from(u8::arbitrary(&mut g)) % span;
        let settings = SimulationSettings { seed: *seed, slots, ..settings };
        let error = Simulation::new(settings).run_schedule(&faults).err();
        // Keys that are not served and slots without a member break availability, not safety.
        error.is_some_and(|error| !error.contains("unserved") && !error.contains("no member"))
    })
}

fn any_fault(_: &Fault) -> bool {
    true
}

fn assert_needed(rules: Rules, kind: fn(&Fault) -> bool) {
    assert_needed_in(SimulationSettings { rules, ..SimulationSettings::default() }, kind);
}

/// As [`assert_needed`], with daemons that write change requests for others.
fn assert_needed_batched(rules: Rules) {
    assert_needed_in(
        SimulationSettings { rules, batching: true, ..SimulationSettings::default() },
        any_fault,
    );
}

fn assert_needed_in(settings: SimulationSettings, kind: fn(&Fault) -> bool) {
    let violation = first_violation(settings, 2..=6, kind);
    assert!(violation.is_some(), "{MAX_SCHEDULES} schedules found no violation without the rule");
    eprintln!("violation in schedule {violation:?}");
}

/// Faults of upstreams and daemons, and a number of slots.
fn any_machine_faults(g: &mut Gen) -> (Vec<MachineFault>, usize) {
    (Vec::arbitrary(g), 2 + usize::from(u8::arbitrary(g) % 5))
}

/// Daemons of two machines that end in their releases in turn.
fn crashes_in_releases(g: &mut Gen) -> (Vec<MachineFault>, usize) {
    let mut millis = || 700 + u16::arbitrary(g) % 2_000;
    let crash = |slot: u8| MachineFault::CrashInRelease { slot: slot % 2, millis: millis() };
    ((0..10_u8).map(crash).collect(), 2)
}

/// As [`assert_needed`], with upstreams and daemons as on the users' platform, in schedules from seed `first`. Only
/// violations of fences count, which the same schedule with the rule doesn't have.
fn assert_needed_by_fences(
    rules: Rules,
    first: u64,
    schedule: fn(&mut Gen) -> (Vec<MachineFault>, usize),
) {
    let violation = (first..first + MAX_SCHEDULES).find_map(|seed| {
        let mut g = Gen::from_size_and_seed(FAULTS, seed);
        let (faults, slots) = schedule(&mut g);
        let settings = SimulationSettings::with_machines(u64::arbitrary(&mut g), slots);
        let violation = |rules| {
            let mut sim = Simulation::new(SimulationSettings { rules, ..settings });
            let error = sim.run_machine_schedule(&faults).err();
            error.filter(|error| error.contains("had it with fence"))
        };
        let error = violation(rules).filter(|_| violation(Rules::default()).is_none())?;
        Some(format!("schedule {seed}: {error}"))
    });
    assert!(violation.is_some(), "{MAX_SCHEDULES} schedules found no violation without the rule");
    eprintln!("violation in {violation:?}");
}

#[test]
fn followed_fences() {
    let rules = Rules { follow_fences: false, ..Rules::default() };
    assert_needed_by_fences(rules, 1, any_machine_faults);
}

#[test]
fn predecessors() {
    let rules = Rules { match_predecessor: false, ..Rules::default() };
    assert_needed_by_fences(rules, 1_600, crashes_in_releases);
}

#[test]
fn current_fences() {
    let rules = Rules { match_fences: false, ..Rules::default() };
    assert_needed_by_fences(rules, 1, any_machine_faults);
}

#[test]
fn boot_ids_of_lives() {
    let rules = Rules { new_boot_ids: false, ..Rules::default() };
    assert_needed_by_fences(rules, 1, any_machine_faults);
}

#[test]
fn send_time() {
    assert_needed(Rules { count_from_send: false, ..Rules::default() }, any_fault);
}

#[test]
fn majority() {
    assert_needed(Rules { count_majority: false, ..Rules::default() }, any_fault);
}

#[test]
fn fence_first() {
    assert_needed(Rules { fence_first: false, ..Rules::default() }, any_fault);
}

#[test]
fn previous_boot() {
    assert_needed_batched(Rules { match_previous_boot: false, ..Rules::default() });
}

#[test]
fn batched_terms() {
    assert_needed_batched(Rules { match_terms: false, ..Rules::default() });
}

#[test]
fn batched_joint_sets() {
    assert_needed_batched(Rules { joint_sets: false, ..Rules::default() });
}

#[test]
fn seal_wait() {
    assert_needed(Rules { wait_out_seal: false, ..Rules::default() }, any_fault);
}

#[test]
fn kept_promises() {
    assert_needed(Rules { keep_promises: false, ..Rules::default() }, any_fault);
}

#[test]
fn boot_ids() {
    assert_needed(Rules { new_boot_ids: false, ..Rules::default() }, any_fault);
}

#[test]
fn joint_sets() {
    let kind = |fault: &Fault| {
        matches!(fault, Fault::DropAnswers { .. } | Fault::Bar { .. } | Fault::Kill { .. })
    };
    assert_needed(Rules { joint_sets: false, ..Rules::default() }, kind);
}

#[test]
fn rising_versions() {
    assert_needed(Rules { rising_versions: false, ..Rules::default() }, any_fault);
}

#[test]
fn held_slices() {
    assert_needed(Rules { hold_until_settled: false, ..Rules::default() }, any_fault);
}

#[test]
fn lost_answers() {
    let kind = |fault: &Fault| matches!(fault, Fault::Noise { .. } | Fault::Bar { .. });
    assert_needed(Rules { settle_lost_answers: false, ..Rules::default() }, kind);
}

/// An operator declares a member lost that is only paused and has no witnesses.
fn declare_paused(rules: Rules) -> Result<(), String> {
    let mut sim =
        Simulation::new(SimulationSettings { slots: 2, rules, ..SimulationSettings::default() });
    sim.kill(1);
    sim.run(2_000)?;
    sim.inject(Fault::Pause { slot: 0, millis: 8_000 });
    sim.start(1);
    sim.run(500)?;
    sim.declare(0);
    sim.run(3_000)?;
    let newcomer = sim.processes[2].node.me();
    assert!(sim.platform.stored.owners.iter().all(|owner| *owner == Some(newcomer)));
    Ok(())
}

#[test]
fn unwitnessed_lease() {
    assert_eq!(declare_paused(Rules::default()), Ok(()));
    assert!(declare_paused(Rules { confirm_unwitnessed: false, ..Rules::default() }).is_err());
}

#[test]
fn drift_bound() {
    let timing = Timing { drift_ppm: 0, ..Timing::default() };
    let settings =
        SimulationSettings { timing, drift_ppm: 20_000, ..SimulationSettings::default() };
    assert!(
        first_violation(settings, 2..=6, any_fault).is_some(),
        "{MAX_SCHEDULES} schedules found no violation without the bound"
    );
}
