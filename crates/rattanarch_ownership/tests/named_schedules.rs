//! Schedules that once broke an invariant.

mod harness;

use harness::Fault;
use harness::Setting;
use harness::World;

fn live(seed: u64, slots: usize, faults: &[Fault]) {
    let setting = Setting { seed, slots, ..Setting::default() };
    if let Err(error) = World::new(setting).live_through(faults) {
        panic!("{error}");
    }
}

#[test]
fn woken_predecessor() {
    let faults = [
        Fault::Pause { slot: 70, millis: 1_368 },
        Fault::Calm,
        Fault::Zombie { slot: 70, millis: 2_907 },
    ];
    live(14_876_181_135_188_861_949, 4, &faults);
}

#[test]
fn forgotten_fence() {
    live(
        73_408_752_841,
        4,
        &[Fault::Zombie { slot: 144, millis: 3_145 }, Fault::Forget { slot: 136 }],
    );
}

#[test]
fn all_lost() {
    let faults = [Fault::Kill { slot: 34, millis: 1_995 }, Fault::Kill { slot: 11, millis: 1_348 }];
    live(558_653_541_818_655, 2, &faults);
}

#[test]
fn lower_fence() {
    let faults = [
        Fault::Calm,
        Fault::Calm,
        Fault::Noise { millis: 2_522 },
        Fault::Calm,
        Fault::Outage { millis: 1_535 },
        Fault::Forget { slot: 96 },
        Fault::Zombie { slot: 0, millis: 1_361 },
    ];
    live(9_934_635_230_055_111_297, 4, &faults);
}

#[test]
fn two_zombies() {
    let faults = [
        Fault::Calm,
        Fault::Calm,
        Fault::Outage { millis: 2_290 },
        Fault::Zombie { slot: 35, millis: 3_553 },
        Fault::Zombie { slot: 41, millis: 1_535 },
        Fault::Calm,
        Fault::Mute { slot: 89, millis: 2_529 },
        Fault::Bar { slot: 172, out: false },
    ];
    let seed = 2_712_169_752_553_452_145;
    let setting = Setting { seed, slots: 6, pace: 245, ..Setting::default() };
    assert_eq!(World::new(setting).live_through(&faults), Ok(()));
}

#[test]
fn starved_join() {
    // No fault at all: a joiner lost six races in three seconds to records that it had not read.
    live(2_347_946_033_503_106_889, 7, &[]);
}

#[test]
fn stop_after_kill() {
    let faults = [Fault::Kill { slot: 64, millis: 1_120 }, Fault::Stop { slot: 101 }];
    live(18_408_465_646_174_597_112, 5, &faults);
}
