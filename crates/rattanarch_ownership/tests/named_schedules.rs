//! Regression tests: schedules that once violated an invariant.

mod harness;

use harness::Fault;
use harness::MachineFault;
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

/// The first heartbeat that a newer process gets was sent before the upstream took a slice that it holds.
#[test]
fn late_first_heartbeat() {
    let settings = SimulationSettings::with_machines(2_425_852_664_520_808_446, 4);
    let faults = [
        MachineFault::CrashInRelease { slot: 197, millis: 1_663 },
        MachineFault::LateReplies { slot: 64, millis: 2_175 },
        MachineFault::LateHeartbeats { slot: 230, millis: 2_042 },
        MachineFault::Pause { slot: 120, millis: 2_522 },
    ];
    assert_eq!(Simulation::new(settings).run_machine_schedule(&faults), Ok(()));
}

/// The first heartbeat that a newer process gets is of a life that has ended; the upstream's next life holds what the
/// earlier process granted.
#[test]
fn ended_life_first() {
    for seed in 1..=100 {
        let mut sim = Simulation::new(SimulationSettings::with_machines(seed, 3));
        assert_eq!(sim.settle(), Ok(()));
        sim.hold_back_heartbeats(1, true);
        assert_eq!(sim.run(1_100), Ok(()));
        sim.hold_back_heartbeats(1, false);
        sim.inject_machine(MachineFault::NewLife { slot: 1, both: false, millis: 0 });
        assert_eq!(sim.run(4_000), Ok(()));
        sim.inject_machine(MachineFault::RestartDaemon { slot: 1, millis: 0 });
        sim.inject_machine(MachineFault::LateReplies { slot: 1, millis: 4_000 });
        sim.inject_machine(MachineFault::Shared(Fault::Bar { slot: 1, out: true }));
        assert_eq!(sim.run(200), Ok(()));
        let millis = sim.random_below(1_500) as u16;
        for cut in [Fault::Isolate { slot: 1, millis }, Fault::NoPlatform { slot: 1, millis }] {
            sim.inject_machine(MachineFault::Shared(cut));
        }
        assert_eq!(sim.run(4_000), Ok(()), "seed {seed}");
    }
}

/// A daemon ends soon after its successor has joined; the upstream still holds what the first process granted.
#[test]
fn daemon_crashes_twice() {
    for seed in 1..=600 {
        let mut sim = Simulation::new(SimulationSettings::with_machines(seed, 3));
        assert_eq!(sim.settle(), Ok(()));
        let member = |sim: &Simulation| {
            let members = &sim.platform.stored.members;
            members.iter().find(|(_, member)| member.instance == "slot-1").map(|(id, _)| *id)
        };
        sim.moves_slices = true;
        let phase = sim.random_below(2_000);
        assert_eq!(sim.run(phase), Ok(()));
        let first = member(&sim);
        sim.inject_machine(MachineFault::RestartDaemon { slot: 1, millis: 0 });
        while member(&sim) == first {
            assert_eq!(sim.run(10), Ok(()));
        }
        sim.inject_machine(MachineFault::RestartDaemon { slot: 1, millis: 5_000 });
        assert_eq!(sim.run(5_000), Ok(()), "seed {seed}");
    }
}
