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
fn stop_after_kill() {
    let faults = [Fault::Kill { slot: 64, millis: 1_120 }, Fault::Stop { slot: 101 }];
    live(18_408_465_646_174_597_112, 5, &faults);
}
