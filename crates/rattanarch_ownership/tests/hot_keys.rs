//! Hot keys move away from an overloaded member and return once they are cold.

mod harness;

use harness::Fault;
use harness::Simulation;
use harness::SimulationSettings;

const KEY: u8 = 0;
/// Load of every other slot, in requests a second.
const BASE_LOAD: u16 = 100;
/// Load of the slot that owns the key at first, in requests a second, without that key.
const BUSY_LOAD: u16 = 400;

/// Reports loads once a second until `done`, for 90 s at most: the key's owner measures `key_load`
/// requests a second for it, and the slot `busy` has the higher base load. Returns the seconds taken.
fn apply_load(
    sim: &mut Simulation,
    busy: usize,
    key_load: u16,
    done: fn(&Simulation) -> bool,
) -> Result<u64, String> {
    for second in 0..90 {
        if done(sim) {
            return Ok(second);
        }
        let owner = owner(sim);
        for slot in 0..sim.settings.slots {
            let base_load = if slot == busy { BUSY_LOAD } else { BASE_LOAD };
            let key_load = if Some(slot) == owner { key_load } else { 0 };
            sim.inject(Fault::Load { slot: slot as u8, key: KEY, base_load, key_load });
        }
        sim.run(1_000)?;
    }
    Err("not done in 90 s".to_owned())
}

/// Slot that serves the key.
fn owner(sim: &Simulation) -> Option<usize> {
    let server = sim.servers(Simulation::hot_key(KEY)).first().copied()?;
    Some(sim.processes[server].slot)
}

fn settled() -> Result<Simulation, String> {
    let mut sim = Simulation::new(SimulationSettings {
        slots: 4,
        slices: 16,
        ..SimulationSettings::default()
    });
    sim.run(10_000)?;
    Ok(sim)
}

#[test]
fn split_and_back() -> Result<(), String> {
    let mut sim = settled()?;
    let busy = owner(&sim).ok_or("unserved")?;
    let after = apply_load(&mut sim, busy, 600, |sim| !sim.platform.stored.hot.is_empty())?;
    assert!(after <= 2, "{after} s");
    sim.run(1_000)?;
    sim.check_all_served()?;
    assert_ne!(owner(&sim), Some(busy));

    let after = apply_load(&mut sim, busy, 0, |sim| sim.platform.stored.hot.is_empty())?;
    assert!(after >= 60, "{after} s");
    sim.run(1_000)?;
    assert_eq!(owner(&sim), Some(busy));
    Ok(())
}

#[test]
fn bounded_moves() -> Result<(), String> {
    // A key that stays hot moves only once, since moving it again would just overload another member.
    let mut sim = settled()?;
    let writes = sim.platform.writes;
    let busy = owner(&sim).ok_or("unserved")?;
    let _ = apply_load(&mut sim, busy, 600, |_| false);
    assert_eq!(sim.platform.writes - writes, 1);
    Ok(())
}
