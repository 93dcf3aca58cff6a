//! Each rule of the protocol is needed: without it, the harness finds the harm.

mod harness;

use std::ops::RangeInclusive;

use harness::Fault;
use harness::Setting;
use harness::World;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use rattanarch_ownership::Rules;
use rattanarch_ownership::Timing;

/// Faults of one schedule.
const SCHEDULE: usize = 24;
/// Schedules tried before a rule counts as not needed.
const LIMIT: u64 = 2_000;

/// Number of the first schedule that breaks safety in a world like `setting`, of schedules whose
/// faults are of a `kind`.
fn first_harm(
    setting: Setting,
    slots: RangeInclusive<usize>,
    kind: fn(&Fault) -> bool,
) -> Option<u64> {
    (1..=LIMIT).find(|seed| {
        let mut g = Gen::from_size_and_seed(SCHEDULE, *seed);
        let mut faults = Vec::<Fault>::arbitrary(&mut g);
        faults.retain(kind);
        let span = slots.end() - slots.start() + 1;
        let slots = slots.start() + usize::from(u8::arbitrary(&mut g)) % span;
        let setting = Setting { seed: *seed, slots, ..setting };
        let harm = World::new(setting).live_through(&faults).err();
        harm.is_some_and(|harm| !harm.contains("unserved") && !harm.contains("no member"))
    })
}

fn any(_: &Fault) -> bool {
    true
}

fn needs(rules: Rules, kind: fn(&Fault) -> bool) {
    needs_in(Setting { rules, ..Setting::default() }, kind);
}

/// As [`needs`], where daemons write for each other.
fn needs_gathered(rules: Rules) {
    needs_in(Setting { rules, gathers: true, ..Setting::default() }, any);
}

fn needs_in(setting: Setting, kind: fn(&Fault) -> bool) {
    let harm = first_harm(setting, 2..=6, kind);
    assert!(harm.is_some(), "{LIMIT} schedules found no harm without the rule");
    eprintln!("harm in schedule {harm:?}");
}

#[test]
fn send_time() {
    needs(Rules { count_from_send: false, ..Rules::default() }, any);
}

#[test]
fn majority() {
    needs(Rules { count_majority: false, ..Rules::default() }, any);
}

#[test]
fn fence_first() {
    needs(Rules { fence_first: false, ..Rules::default() }, any);
}

#[test]
fn older_life() {
    needs_gathered(Rules { match_previous_boot: false, ..Rules::default() });
}

#[test]
fn gathered_terms() {
    needs_gathered(Rules { match_terms: false, ..Rules::default() });
}

#[test]
fn gathered_joint_sets() {
    needs_gathered(Rules { joint_sets: false, ..Rules::default() });
}

#[test]
fn seal_wait() {
    needs(Rules { wait_out_seal: false, ..Rules::default() }, any);
}

#[test]
fn kept_promises() {
    needs(Rules { keep_promises: false, ..Rules::default() }, any);
}

#[test]
fn boot_ids() {
    needs(Rules { new_boot_ids: false, ..Rules::default() }, any);
}

#[test]
fn joint_sets() {
    let kind = |fault: &Fault| {
        matches!(fault, Fault::Mute { .. } | Fault::Bar { .. } | Fault::Kill { .. })
    };
    needs(Rules { joint_sets: false, ..Rules::default() }, kind);
}

#[test]
fn rising_versions() {
    needs(Rules { rising_versions: false, ..Rules::default() }, any);
}

#[test]
fn held_slices() {
    needs(Rules { hold_until_settled: false, ..Rules::default() }, any);
}

#[test]
fn lost_answers() {
    let kind = |fault: &Fault| matches!(fault, Fault::Noise { .. } | Fault::Bar { .. });
    needs(Rules { settle_lost_answers: false, ..Rules::default() }, kind);
}

/// An operator declares a member lost that has no witnesses and is only paused.
fn declare_paused(rules: Rules) -> Result<(), String> {
    let mut world = World::new(Setting { slots: 2, rules, ..Setting::default() });
    world.kill(1);
    world.run(2_000)?;
    world.inflict(Fault::Pause { slot: 0, millis: 8_000 });
    world.start(1);
    world.run(500)?;
    world.declare(0);
    world.run(3_000)?;
    let newcomer = world.processes[2].node.me();
    assert!(world.platform.stored.owners.iter().all(|owner| *owner == Some(newcomer)));
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
    let setting = Setting { timing, drift_ppm: 20_000, ..Setting::default() };
    assert!(
        first_harm(setting, 2..=6, any).is_some(),
        "{LIMIT} schedules found no harm without the bound"
    );
}
