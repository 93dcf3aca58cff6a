//! Faults of machines that have an upstream and a daemon.

use quickcheck::Arbitrary;
use quickcheck::Gen;

use super::Fault;
use super::Simulation;
use super::machine::MachineTask;
use super::simulation::MILLI;
use super::simulation::Task;

/// Longest time until every slice is held after the faults.
const SETTLING_MILLIS: u64 = 30_000;

/// One fault, which lasts `millis` from its time in the schedule. Slots are taken modulo the number of slots.
#[derive(Clone, Copy, Debug)]
pub enum MachineFault {
    /// A fault of the network, the platform or the configuration.
    Shared(Fault),
    /// The daemon is suspended and resumes later; heartbeats are queued, records are missed.
    Pause { slot: u8, millis: u16 },
    /// The daemon alone is killed and starts again later, beside the living upstream.
    RestartDaemon { slot: u8, millis: u16 },
    /// Heartbeats are held back in the network; then the daemon alone restarts, and gets these first.
    DelayedStart { slot: u8, millis: u16 },
    /// A heartbeat is held back in the network, and the daemon alone restarts when it has sent its next release, which
    /// is under way for a while. The new process gets that heartbeat first and is then cut off.
    CrashInRelease { slot: u8, millis: u16 },
    /// The upstream ends, and its daemon too if `both`; a new life starts later.
    NewLife { slot: u8, both: bool, millis: u16 },
    /// The upstream reports that it leaves, ends some seconds later, and a new life starts.
    Leave { slot: u8 },
    /// Heartbeats of the slot arrive seconds late.
    LateHeartbeats { slot: u8, millis: u16 },
    /// Replies to heartbeats of the slot are lost or late.
    LateReplies { slot: u8, millis: u16 },
    /// No record reaches the daemon; later it learns the newest one.
    MissRecords { slot: u8, millis: u16 },
    /// Records that the daemon writes have no fencing tokens, as those of older builds.
    NoTokens { slot: u8, millis: u16 },
}

impl Arbitrary for MachineFault {
    fn arbitrary(g: &mut Gen) -> Self {
        let slot = u8::arbitrary(g);
        let millis = u16::arbitrary(g) % 4_000;
        match u8::arbitrary(g) % 22 {
            0 | 1 => Self::Pause { slot, millis },
            2 | 3 => Self::RestartDaemon { slot, millis },
            4..7 => Self::DelayedStart { slot, millis },
            7 => Self::NewLife { slot, both: false, millis },
            8 => Self::NewLife { slot, both: true, millis },
            9 => Self::Leave { slot },
            10 | 11 => Self::LateHeartbeats { slot, millis },
            12 => Self::LateReplies { slot, millis },
            13 | 14 => Self::MissRecords { slot, millis },
            15 => Self::NoTokens { slot, millis },
            16 | 17 => Self::CrashInRelease { slot, millis },
            _ => Self::Shared(shared_fault(g)),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        match self {
            Self::Shared(Fault::Nothing) => Box::new(std::iter::empty()),
            _ => Box::new(std::iter::once(Self::Shared(Fault::Nothing))),
        }
    }
}

/// A fault that is no fault of a single process.
fn shared_fault(g: &mut Gen) -> Fault {
    match Fault::arbitrary(g) {
        Fault::Pause { .. }
        | Fault::Kill { .. }
        | Fault::Zombie { .. }
        | Fault::Stop { .. }
        | Fault::ForgetFences { .. }
        | Fault::Load { .. } => Fault::Bar { slot: u8::arbitrary(g), out: bool::arbitrary(g) },
        shared => shared,
    }
}

impl Simulation {
    /// Starts `fault` now.
    pub fn inject_machine(&mut self, fault: MachineFault) {
        let until = |millis: u16| self.now + u64::from(millis) * MILLI;
        match fault {
            MachineFault::Shared(fault) => self.inject(fault),
            MachineFault::Pause { slot, millis } => {
                self.pause_daemon(self.slot(slot), u64::from(millis));
            }
            MachineFault::RestartDaemon { slot, millis } => {
                let slot = self.slot(slot);
                self.kill_daemon(slot);
                self.after(slot, u64::from(millis), MachineTask::StartDaemon);
            }
            MachineFault::DelayedStart { slot, millis } => {
                let slot = self.slot(slot);
                self.machines[slot].holds_back = true;
                let kill = u64::from(millis);
                let number = self.machines[slot].daemon.number;
                self.after(slot, kill, MachineTask::RestartDaemon(number));
            }
            MachineFault::CrashInRelease { slot, millis } => {
                let slot = self.slot(slot);
                self.machines[slot].crash_in_release = Some(u64::from(millis));
            }
            MachineFault::NewLife { slot, both, millis } => {
                let slot = self.slot(slot);
                let life = self.machines[slot].upstream.life;
                self.end_upstream(slot);
                if both {
                    self.kill_daemon(slot);
                    let delay = self.random_below(1_000);
                    self.after(slot, delay, MachineTask::StartDaemon);
                }
                let noticed = self.random_below(1_000);
                self.after(slot, noticed, MachineTask::Refused(life));
                self.after(slot, u64::from(millis) / 2, MachineTask::StartUpstream);
            }
            MachineFault::Leave { slot } => {
                let slot = self.slot(slot);
                let upstream = &mut self.machines[slot].upstream;
                upstream.leaving = true;
                let life = upstream.life;
                self.after(slot, 4_000, MachineTask::EndUpstream(life));
                self.after(slot, 4_500, MachineTask::StartUpstream);
            }
            MachineFault::LateHeartbeats { slot, millis } => {
                let (slot, until) = (self.slot(slot), until(millis));
                self.machines[slot].late_until = until;
            }
            MachineFault::LateReplies { slot, millis } => {
                let (slot, until) = (self.slot(slot), until(millis));
                self.machines[slot].lossy_until = until;
            }
            MachineFault::MissRecords { slot, millis } => {
                let (slot, until) = (self.slot(slot), until(millis));
                self.machines[slot].blind_until = until;
                self.after(slot, u64::from(millis), MachineTask::Sight);
            }
            MachineFault::NoTokens { slot, millis } => {
                let (slot, until) = (self.slot(slot), until(millis));
                self.machines[slot].tokenless_until = until;
            }
        }
    }

    /// Sets whether heartbeats of `slot` are held back in the network until the next process of its daemon starts.
    pub fn hold_back_heartbeats(&mut self, slot: usize, is_held: bool) {
        self.machines[slot].holds_back = is_held;
    }

    fn after(&mut self, slot: usize, millis: u64, task: MachineTask) {
        self.schedule(millis * MILLI, Task::Machine(slot, task));
    }

    /// Lets every slot join, injects `faults` at the configured interval, ends them, and checks that an upstream holds
    /// every slice again.
    pub fn run_machine_schedule(&mut self, faults: &[MachineFault]) -> Result<(), String> {
        self.settle()?;
        self.moves_slices = true;
        for fault in faults {
            self.inject_machine(*fault);
            let delay = self.settings.fault_interval_ms / 2
                + self.random_below(self.settings.fault_interval_ms);
            self.run(delay)?;
        }
        self.run(5_000)?;
        self.heal();
        self.moves_slices = false;
        for machine in &mut self.machines {
            (machine.late_until, machine.lossy_until, machine.tokenless_until) = (0, 0, 0);
            machine.blind_until = 0;
            machine.crash_in_release = None;
        }
        self.settle()
    }

    /// Runs until every slot has a member and an upstream holds each slice; an error if that takes longer than
    /// `SETTLING_MILLIS`.
    pub fn settle(&mut self) -> Result<(), String> {
        let mut outcome = Ok(());
        for _ in 0..SETTLING_MILLIS / 500 {
            self.run(500)?;
            outcome = self.check_all_served().and_then(|()| self.check_all_held());
            if outcome.is_ok() {
                break;
            }
        }
        outcome
    }
}
