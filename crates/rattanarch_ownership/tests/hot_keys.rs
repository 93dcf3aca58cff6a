//! Hot keys leave an overloaded member, and come back once they are cold.

mod harness;

use harness::Fault;
use harness::Setting;
use harness::World;

const KEY: u8 = 0;
const BASE: u16 = 100;
/// Base load of the slot that owns the key at first.
const BUSY: u16 = 400;

/// One measurement of loads a second, with `heat` for the key at its owner, until `done` or a
/// minute and a half has passed. The slot `busy` has more to do besides.
fn load(
    world: &mut World,
    busy: usize,
    heat: u16,
    done: fn(&World) -> bool,
) -> Result<u64, String> {
    for second in 0..90 {
        if done(world) {
            return Ok(second);
        }
        let owner = owner(world);
        for slot in 0..world.setting.slots {
            let base = if slot == busy { BUSY } else { BASE };
            let heat = if Some(slot) == owner { heat } else { 0 };
            world.inflict(Fault::Load { slot: slot as u8, key: KEY, base, heat });
        }
        world.run(1_000)?;
    }
    Err("not done in 90 s".to_owned())
}

/// Slot that serves the key.
fn owner(world: &World) -> Option<usize> {
    let server = world.servers(World::hot_key(KEY)).first().copied()?;
    Some(world.processes[server].slot)
}

fn settled() -> Result<World, String> {
    let mut world = World::new(Setting { slots: 4, slices: 16, ..Setting::default() });
    world.run(10_000)?;
    Ok(world)
}

#[test]
fn split_and_back() -> Result<(), String> {
    let mut world = settled()?;
    let busy = owner(&world).ok_or("unserved")?;
    let after = load(&mut world, busy, 600, |world| !world.platform.stored.hot.is_empty())?;
    assert!(after <= 2, "{after} s");
    world.run(1_000)?;
    world.check_whole()?;
    assert_ne!(owner(&world), Some(busy));

    let after = load(&mut world, busy, 0, |world| world.platform.stored.hot.is_empty())?;
    assert!(after >= 60, "{after} s");
    world.run(1_000)?;
    assert_eq!(owner(&world), Some(busy));
    Ok(())
}

#[test]
fn bounded_moves() -> Result<(), String> {
    // A key that stays hot moves once, since another member would be no better off with it.
    let mut world = settled()?;
    let writes = world.platform.writes;
    let busy = owner(&world).ok_or("unserved")?;
    let _ = load(&mut world, busy, 600, |_| false);
    assert_eq!(world.platform.writes - writes, 1);
    Ok(())
}
