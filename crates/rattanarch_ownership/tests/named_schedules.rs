//! Regression tests: schedules that once violated an invariant.

mod harness;

use harness::Fault;
use harness::Simulation;
use harness::SimulationSettings;

fn run(seed: u64, slots: usize, faults: &[Fault]) {
    let settings = SimulationSettings { seed, slots, ..SimulationSettings::default() };
    if let Err(error) = Simulation::new(settings).run_schedule(faults) {
        panic!("{error}");
    }
}

#[test]
fn resumed_predecessor() {
    let faults = [
        Fault::Pause { slot: 70, millis: 1_368 },
        Fault::Nothing,
        Fault::Zombie { slot: 70, millis: 2_907 },
    ];
    run(14_876_181_135_188_861_949, 4, &faults);
}

#[test]
fn forgotten_fence() {
    run(
        73_408_752_841,
        4,
        &[Fault::Zombie { slot: 144, millis: 3_145 }, Fault::ForgetFences { slot: 136 }],
    );
}

#[test]
fn all_lost() {
    let faults = [Fault::Kill { slot: 34, millis: 1_995 }, Fault::Kill { slot: 11, millis: 1_348 }];
    run(558_653_541_818_655, 2, &faults);
}

#[test]
fn lower_fence() {
    let faults = [
        Fault::Nothing,
        Fault::Nothing,
        Fault::Noise { millis: 2_522 },
        Fault::Nothing,
        Fault::Outage { millis: 1_535 },
        Fault::ForgetFences { slot: 96 },
        Fault::Zombie { slot: 0, millis: 1_361 },
    ];
    run(9_934_635_230_055_111_297, 4, &faults);
}

#[test]
fn two_zombies() {
    let faults = [
        Fault::Nothing,
        Fault::Nothing,
        Fault::Outage { millis: 2_290 },
        Fault::Zombie { slot: 35, millis: 3_553 },
        Fault::Zombie { slot: 41, millis: 1_535 },
        Fault::Nothing,
        Fault::DropAnswers { slot: 89, millis: 2_529 },
        Fault::Bar { slot: 172, out: false },
    ];
    let seed = 2_712_169_752_553_452_145;
    let settings = SimulationSettings {
        seed,
        slots: 6,
        fault_interval_ms: 245,
        ..SimulationSettings::default()
    };
    assert_eq!(Simulation::new(settings).run_schedule(&faults), Ok(()));
}

#[test]
fn starved_join() {
    // Without any fault, a joining node lost six races in three seconds to records that it had not read.
    run(2_347_946_033_503_106_889, 7, &[]);
}

#[test]
fn stop_after_kill() {
    let faults = [Fault::Kill { slot: 64, millis: 1_120 }, Fault::Stop { slot: 101 }];
    run(18_408_465_646_174_597_112, 5, &faults);
}
