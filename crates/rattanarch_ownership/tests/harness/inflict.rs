//! Faults take place, and whole schedules of them.

use rattanarch_ownership::Event;

use super::Fault;
use super::World;
use super::world::Due;
use super::world::MILLI;

impl World {
    /// Ends every fault that lasts.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.unplugged.fill(0);
        self.mute_next.fill(0);
        self.muted.fill(0);
        self.barred.fill(false);
        self.platform.down = 0;
        self.noise = 0;
        self.inflict(Fault::Declare);
    }

    pub fn slot(&self, slot: u8) -> usize {
        usize::from(slot) % self.setting.slots
    }

    /// Kills the process of `slot` for good.
    pub fn kill(&mut self, slot: usize) {
        let index = self.current[slot];
        self.processes[index].is_alive = false;
    }

    /// Operators declare the process of `slot` lost, whatever it does.
    pub fn declare(&mut self, slot: usize) {
        let index = self.current[slot];
        self.lost.push(self.processes[index].node.me());
        self.tell_intent();
    }

    /// Begins `fault` now.
    pub fn inflict(&mut self, fault: Fault) {
        let until = |millis: u16| self.now + u64::from(millis) * MILLI;
        match fault {
            Fault::Calm => {}
            Fault::Pause { slot, millis } => {
                let index = self.current[self.slot(slot)];
                self.pause(index, u64::from(millis));
            }
            Fault::Kill { slot, millis } => {
                let slot = self.slot(slot);
                self.kill(slot);
                self.plan(u64::from(millis) * MILLI, Due::Start(slot));
            }
            Fault::Zombie { slot, millis } => {
                let slot = self.slot(slot);
                self.pause(self.current[slot], u64::from(millis));
                self.start(slot);
            }
            Fault::Stop { slot } => {
                let index = self.current[self.slot(slot)];
                self.plan(0, Due::Deliver(index, Event::Stop));
            }
            Fault::Cut { from, to, both, millis } => {
                let (from, to, until) = (self.slot(from), self.slot(to), until(millis));
                self.cuts.insert((from, to), until);
                if both {
                    self.cuts.insert((to, from), until);
                }
            }
            Fault::Isolate { slot, millis } => {
                let (slot, until) = (self.slot(slot), until(millis));
                for other in 0..self.setting.slots {
                    self.cuts.insert((slot, other), until);
                    self.cuts.insert((other, slot), until);
                }
            }
            Fault::Unplug { slot, millis } => {
                let until = until(millis);
                let slot = self.slot(slot);
                self.unplugged[slot] = until;
            }
            Fault::Mute { slot, millis } => {
                let slot = self.slot(slot);
                self.mute_next[slot] = u64::from(millis) * MILLI;
            }
            Fault::Outage { millis } => self.platform.down = until(millis),
            Fault::Noise { millis } => self.noise = until(millis),
            Fault::Bar { slot, out } => {
                let slot = self.slot(slot);
                self.barred[slot] = out;
                self.tell_intent();
            }
            Fault::Forget { slot } => {
                let slot = self.slot(slot);
                self.fences[slot] = 0;
            }
            Fault::Declare => {
                let dead = self.processes.iter().filter(|process| !process.is_alive);
                self.lost = dead.map(|process| process.node.me()).collect();
                self.tell_intent();
            }
            Fault::Load { slot, key, base, heat } => {
                let index = self.current[self.slot(slot)];
                let (base, heat) = (u32::from(base), u32::from(heat));
                let keys = [(Self::hot_key(key), heat)].into();
                let slices = [(0, base + heat)].into();
                self.plan(0, Due::Deliver(index, Event::Load { slices, keys }));
            }
        }
    }

    /// Lets everyone join, then inflicts `faults` at the setting's pace, heals, and waits until all
    /// is whole again.
    pub fn live_through(&mut self, faults: &[Fault]) -> Result<(), String> {
        self.run(3_000)?;
        self.check_whole()?;
        for fault in faults {
            self.inflict(*fault);
            let pace = self.setting.pace / 2 + self.below(self.setting.pace);
            self.run(pace)?;
        }
        self.run(4_000)?;
        self.heal();
        self.run(20_000)?;
        self.check_whole()
    }
}
