//! Fencing tokens and exclusive keys under random faults.

mod mesh_support;

use std::thread;
use std::time::Duration;

use mesh_support::Site;
use rattanarch_adapter_standins::DESK;
use rattanarch_adapter_standins::WriteFault;

/// Number of faults in a run.
const FAULTS: usize = 12;

/// Generator of random numbers.
struct Random(u64);

impl Random {
    /// Returns a number below `end`.
    fn below(&mut self, end: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % end
    }

    fn millis(&mut self, first: u64, end: u64) -> Duration {
        Duration::from_millis(first + self.below(end - first))
    }
}

/// Guards against tokens and holds that break only if several faults meet. `SEED` chooses the faults.
#[test]
fn random_faults() {
    let seed: u64 = std::env::var("SEED").map_or(1, |seed| seed.parse().expect("seed is a number"));
    let mut random = Random(u64::wrapping_mul(seed, 0x9E37_79B9_7F4A_7C15));
    let mut site = Site::start(4, 0);
    let mut evacuated: Option<String> = None;
    for fault in 0..FAULTS {
        let index = random.below(4) as usize;
        let kind = random.below(9);
        eprintln!("{fault}: kind {kind} at {index}");
        match kind {
            0..=2 => {
                if let Some(centre) = evacuated.take() {
                    site.store.end_evacuation(&centre);
                } else {
                    let centre = format!("centre-{}", random.below(3));
                    site.store.evacuate(&centre);
                    evacuated = Some(centre);
                }
            }
            3 => site.restart_upstream(index, &format!("i-desk-{index}-{}", random.below(2))),
            4 => drop(site.restart_daemon(index)),
            5 => {
                let pause = random.millis(200, 2_500);
                site.pause_daemon(index, pause);
            }
            6 => {
                let delay = random.millis(200, 1_500);
                let faults = [WriteFault::ResponseLost, WriteFault::Late(delay)];
                site.store.fail_writes([faults[random.below(2) as usize]]);
            }
            7 => {
                site.store.drop_tokens(DESK);
                site.store.clear_history();
            }
            _ => {
                site.upstreams[index].set_silent(true);
                thread::sleep(random.millis(200, 2_000));
                site.upstreams[index].set_silent(false);
            }
        }
        thread::sleep(random.millis(0, 400));
    }
    if let Some(centre) = evacuated {
        site.store.end_evacuation(&centre);
    }
    thread::sleep(Duration::from_secs(4));
    site.assert_fenced();
    site.wait_served();
    site.assert_fenced();
}
