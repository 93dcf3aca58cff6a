//! Injection of single faults and of whole schedules.

use rattanarch_ownership::Event;

use super::Fault;
use super::Simulation;
use super::simulation::MILLI;
use super::simulation::Task;

impl Simulation {
    /// Ends every ongoing fault and declares the dead processes lost.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.no_platform_until.fill(0);
        self.drop_answers_for.fill(0);
        self.no_answers_until.fill(0);
        self.excluded.fill(false);
        self.platform.down_until = 0;
        self.noise_until = 0;
        self.inject(Fault::DeclareLost);
    }

    pub fn slot(&self, slot: u8) -> usize {
        usize::from(slot) % self.settings.slots
    }

    /// Kills the process of `slot`; no other starts in its place.
    pub fn kill(&mut self, slot: usize) {
        let index = self.current[slot];
        self.processes[index].is_alive = false;
    }

    /// Declares the process of `slot` lost, as an operator does, even if it runs.
    pub fn declare(&mut self, slot: usize) {
        let index = self.current[slot];
        self.declared_lost.push(self.processes[index].node.me());
        self.publish_exclusions();
    }

    /// Starts `fault` now.
    pub fn inject(&mut self, fault: Fault) {
        let until = |millis: u16| self.now + u64::from(millis) * MILLI;
        match fault {
            Fault::Nothing => {}
            Fault::Pause { slot, millis } => {
                let index = self.current[self.slot(slot)];
                self.pause(index, u64::from(millis));
            }
            Fault::Kill { slot, millis } => {
                let slot = self.slot(slot);
                self.kill(slot);
                self.schedule(u64::from(millis) * MILLI, Task::Start(slot));
            }
            Fault::Zombie { slot, millis } => {
                let slot = self.slot(slot);
                self.pause(self.current[slot], u64::from(millis));
                self.start(slot);
            }
            Fault::Stop { slot } => {
                let index = self.current[self.slot(slot)];
                self.schedule(0, Task::Deliver(index, Event::Stop));
            }
            Fault::Partition { from, to, both, millis } => {
                let (from, to, until) = (self.slot(from), self.slot(to), until(millis));
                self.cuts.insert((from, to), until);
                if both {
                    self.cuts.insert((to, from), until);
                }
            }
            Fault::Isolate { slot, millis } => {
                let (slot, until) = (self.slot(slot), until(millis));
                for other in 0..self.settings.slots {
                    self.cuts.insert((slot, other), until);
                    self.cuts.insert((other, slot), until);
                }
            }
            Fault::NoPlatform { slot, millis } => {
                let until = until(millis);
                let slot = self.slot(slot);
                self.no_platform_until[slot] = until;
            }
            Fault::DropAnswers { slot, millis } => {
                let slot = self.slot(slot);
                self.drop_answers_for[slot] = u64::from(millis) * MILLI;
            }
            Fault::Outage { millis } => self.platform.down_until = until(millis),
            Fault::Noise { millis } => self.noise_until = until(millis),
            Fault::Bar { slot, out } => {
                let slot = self.slot(slot);
                self.excluded[slot] = out;
                self.publish_exclusions();
            }
            Fault::ForgetFences { slot } => {
                let slot = self.slot(slot);
                self.fences[slot] = 0;
            }
            Fault::DeclareLost => {
                let dead = self.processes.iter().filter(|process| !process.is_alive);
                self.declared_lost = dead.map(|process| process.node.me()).collect();
                self.publish_exclusions();
            }
            Fault::Load { slot, key, base_load, key_load } => {
                let index = self.current[self.slot(slot)];
                let (base_load, key_load) = (u32::from(base_load), u32::from(key_load));
                let keys = [(Self::hot_key(key), key_load)].into();
                let slices = [(0, base_load + key_load)].into();
                self.schedule(0, Task::Deliver(index, Event::Load { slices, keys }));
            }
        }
    }

    /// Lets every slot join, injects `faults` at the configured interval, ends them, and checks that
    /// every key is served again.
    pub fn run_schedule(&mut self, faults: &[Fault]) -> Result<(), String> {
        self.run(3_000)?;
        self.check_all_served()?;
        for fault in faults {
            self.inject(*fault);
            let delay = self.settings.fault_interval_ms / 2
                + self.random_below(self.settings.fault_interval_ms);
            self.run(delay)?;
        }
        self.run(4_000)?;
        self.heal();
        self.run(20_000)?;
        self.check_all_served()
    }
}
