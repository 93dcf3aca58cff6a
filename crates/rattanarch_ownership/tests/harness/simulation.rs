//! Simulated time and the queue of scheduled tasks.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_core::Rng;
use rand_core::SeedableRng;
use rattanarch_ownership::Action;
use rattanarch_ownership::ChangeRequest;
use rattanarch_ownership::Event;
use rattanarch_ownership::Rules;
use rattanarch_ownership::Timing;
use rattanarch_types::Fence;
use rattanarch_types::Record;
use rattanarch_types::SliceId;

use super::Counts;
use super::Process;
use super::machine::Machine;
use super::machine::MachineTask;
use super::platform::Platform;

pub(crate) const MILLI: u64 = 1_000;
const SECOND: u64 = 1_000_000;
pub(crate) const TICK: u64 = 40 * MILLI;

/// Parameters of one simulation.
#[derive(Clone, Copy, Debug)]
pub struct SimulationSettings {
    /// Number of places for one upstream and its daemon.
    pub slots: usize,
    pub centres: usize,
    pub slices: u16,
    pub seed: u64,
    pub rules: Rules,
    pub timing: Timing,
    /// Largest drift between two simulated clocks; `timing` has the bound that nodes assume.
    pub drift_ppm: u32,
    /// Mean time between two faults of the schedule, in milliseconds.
    pub fault_interval_ms: u64,
    /// Percentage of upstreams that check fences.
    pub fenced_percent: u64,
    /// Whether daemons write change requests for others in batches.
    pub batching: bool,
    /// Whether daemons and upstreams run as on the users' platform: heartbeats, grants and slices that move often.
    pub machines: bool,
    /// Interval between two heartbeats of an upstream.
    pub upstream_heartbeat_ms: u64,
}

impl Default for SimulationSettings {
    fn default() -> Self {
        let timing = Timing { drift_ppm: 20_000, ..Timing::default() };
        Self {
            slots: 5,
            centres: 3,
            slices: 10,
            seed: 1,
            rules: Rules::default(),
            timing,
            drift_ppm: timing.drift_ppm,
            fault_interval_ms: 700,
            fenced_percent: 70,
            batching: false,
            machines: false,
            upstream_heartbeat_ms: 1_000,
        }
    }
}

impl SimulationSettings {
    /// Machines with the timing of the users' platform.
    pub fn with_machines(seed: u64, slots: usize) -> Self {
        let upstream_heartbeat_ms = if seed.is_multiple_of(2) { 1_000 } else { 500 };
        let lease = Duration::from_secs(3);
        let timing = Timing {
            lease,
            heartbeat: lease / 5,
            suspicion: lease * 4 / 5,
            drift_ppm: 1_000,
            turn: Duration::from_millis(200),
            ..Timing::default()
        };
        Self {
            seed,
            slots,
            timing,
            drift_ppm: timing.drift_ppm,
            fault_interval_ms: 200 + seed % 2_300,
            machines: true,
            upstream_heartbeat_ms,
            ..Self::default()
        }
    }
}

pub(crate) enum Task {
    Tick(usize),
    Resume(usize),
    Deliver(usize, Event),
    Read {
        process: usize,
        sent: Duration,
    },
    Write {
        process: usize,
        record: Record,
    },
    Start(usize),
    Delegated(usize, ChangeRequest),
    /// The process learns which members are excluded and lost at that moment, so an older set never follows a newer one.
    Exclusions(usize),
    Machine(usize, MachineTask),
}

/// Simulated processes, their network and the platform.
pub struct Simulation {
    pub settings: SimulationSettings,
    pub now: u64,
    pub processes: Vec<Process>,
    /// Newest process of each slot.
    pub current: Vec<usize>,
    /// Highest fence that each slot's upstream has accepted.
    pub fences: Vec<Fence>,
    /// Process that took a fence last, by slot; the upstream runs requests for no other.
    pub holders: Vec<usize>,
    pub platform: Platform,
    pub messages: u64,
    pub drained_slices: u64,
    pub(crate) excluded: Vec<bool>,
    pub(crate) declared_lost: Vec<u64>,
    pub(crate) cuts: BTreeMap<(usize, usize), u64>,
    pub(crate) no_platform_until: Vec<u64>,
    /// How long no platform answer reaches a slot from its next write on, in microseconds.
    pub(crate) drop_answers_for: Vec<u64>,
    pub(crate) no_answers_until: Vec<u64>,
    pub(crate) noise_until: u64,
    pub(crate) checks_fence: Vec<bool>,
    pub(crate) queue: BinaryHeap<Reverse<(u64, u64)>>,
    pub(crate) tasks: BTreeMap<u64, Task>,
    pub(crate) task_count: u64,
    pub(crate) rng: ChaCha8Rng,
    /// Machines by slot, if there are any.
    pub(crate) machines: Vec<Machine>,
    /// Number of lives of upstreams so far.
    pub(crate) lives: u64,
    /// Highest fence under which each life took a slice.
    pub(crate) taken: BTreeMap<SliceId, BTreeMap<u64, Fence>>,
    /// Whether daemons move slices at random.
    pub moves_slices: bool,
    pub counts: Counts,
}

impl Simulation {
    pub fn new(settings: SimulationSettings) -> Self {
        let mut sim = Self {
            settings,
            now: SECOND,
            processes: Vec::new(),
            current: vec![usize::MAX; settings.slots],
            fences: vec![0; settings.slots],
            holders: vec![0; settings.slots],
            platform: Platform::new(Record::new("trade-desk", settings.slices)),
            messages: 0,
            drained_slices: 0,
            excluded: vec![false; settings.slots],
            declared_lost: Vec::new(),
            cuts: BTreeMap::new(),
            no_platform_until: vec![0; settings.slots],
            drop_answers_for: vec![0; settings.slots],
            no_answers_until: vec![0; settings.slots],
            noise_until: 0,
            checks_fence: Vec::new(),
            queue: BinaryHeap::new(),
            tasks: BTreeMap::new(),
            task_count: 0,
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            machines: Vec::new(),
            lives: 0,
            taken: BTreeMap::new(),
            moves_slices: false,
            counts: Counts::default(),
        };
        if settings.machines {
            sim.platform.stored = sim.platform.stored.clone().with_fences();
            (0..settings.slots).for_each(|slot| sim.add_machine(slot));
            return sim;
        }
        for slot in 0..settings.slots {
            let checks = sim.chance(settings.fenced_percent);
            sim.checks_fence.push(checks);
            sim.start(slot);
        }
        sim
    }

    pub fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound.max(1)
    }

    pub(crate) fn chance(&mut self, percent: u64) -> bool {
        self.random_below(100) < percent
    }

    pub(crate) fn schedule(&mut self, delay: u64, task: Task) {
        self.task_count += 1;
        self.queue.push(Reverse((self.now + delay, self.task_count)));
        self.tasks.insert(self.task_count, task);
    }

    /// Runs for `millis` of simulated true time.
    pub fn run(&mut self, millis: u64) -> Result<(), String> {
        let end = self.now + millis * MILLI;
        while let Some(Reverse((time, _))) = self.queue.peek()
            && *time <= end
        {
            let Some(Reverse((time, id))) = self.queue.pop() else { break };
            self.now = time;
            if let Some(task) = self.tasks.remove(&id) {
                self.run_task(task)?;
            }
        }
        self.now = end;
        Ok(())
    }

    fn run_task(&mut self, task: Task) -> Result<(), String> {
        match task {
            Task::Tick(index) => {
                if self.processes[index].is_alive {
                    self.schedule(TICK, Task::Tick(index));
                    self.end_superseded(index);
                    self.deliver(index, Event::Tick)?;
                    self.write_batch(index);
                }
            }
            Task::Resume(index) => self.resume(index)?,
            Task::Deliver(index, event) => {
                self.deliver(index, event)?;
                if self.settings.machines {
                    self.maintain(self.processes[index].slot)?;
                }
            }
            Task::Machine(slot, task) => self.run_machine_task(slot, task)?,
            Task::Read { process, sent } => self.answer_read(process, sent),
            Task::Write { process, record } => self.answer_write(process, record)?,
            Task::Exclusions(index) => {
                let event = self.exclusions();
                self.deliver(index, event)?;
            }
            Task::Delegated(index, request) => self.receive_request(index, request),
            Task::Start(slot) => {
                if !self.is_running(slot) {
                    self.start(slot);
                }
            }
        }
        Ok(())
    }

    pub(crate) fn deliver(&mut self, index: usize, event: Event) -> Result<(), String> {
        let now = self.now;
        let process = &mut self.processes[index];
        if !process.is_alive {
            return Ok(());
        }
        let is_record = matches!(event, Event::Record { read_sent: Some(_), .. });
        if is_record && self.machines.get(process.slot).is_some_and(|m| now < m.blind_until) {
            return Ok(());
        }
        if now < process.paused_until {
            // Inputs of a paused process are queued. Ticks are not: the next one after the pause suffices.
            if event != Event::Tick {
                process.inbox.push(event);
            }
            return Ok(());
        }
        let clock = process.clock(now);
        if let Event::Written { write_id, outcome } = &event {
            process.batcher.settle(clock, *write_id, outcome);
        }
        let actions = process.node.step(clock, event);
        self.publish_serving(index);
        self.check(index)?;
        if self.noise_until > now && self.chance(1) {
            // The process is paused after the node's step, before its actions are carried out.
            self.processes[index].pending_actions.extend(actions);
            let millis = self.random_below(3_000);
            if self.settings.machines {
                self.pause_daemon(self.processes[index].slot, millis);
            } else {
                self.pause(index, millis);
            }
            return Ok(());
        }
        self.perform(index, actions);
        Ok(())
    }

    pub(crate) fn pause(&mut self, index: usize, millis: u64) {
        self.processes[index].paused_until = self.now + millis * MILLI;
        self.schedule(millis * MILLI, Task::Resume(index));
    }

    fn resume(&mut self, index: usize) -> Result<(), String> {
        if self.now < self.processes[index].paused_until || !self.processes[index].is_alive {
            return Ok(());
        }
        let pending_actions = std::mem::take(&mut self.processes[index].pending_actions);
        self.perform(index, pending_actions);
        for event in std::mem::take(&mut self.processes[index].inbox) {
            self.deliver(index, event)?;
        }
        Ok(())
    }

    pub(crate) fn perform(&mut self, index: usize, actions: Vec<Action>) {
        let me = self.processes[index].node.me();
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    let event = Event::Message { from: me, message };
                    self.send(index, to, &event);
                }
                Action::Read | Action::CatchUp { .. } => {
                    let sent = self.processes[index].clock(self.now);
                    let delay = self.platform_delay();
                    self.schedule(delay, Task::Read { process: index, sent });
                }
                Action::Write(record) => self.send_write(index, record),
                Action::Drain { slices, .. } if self.settings.machines => self.drain(index, slices),
                Action::Drain { slices, hot } => {
                    self.drained_slices += slices.len() as u64;
                    let delay = 5 * MILLI + self.random_below(100 * MILLI);
                    self.schedule(
                        delay,
                        Task::Deliver(
                            index,
                            Event::Drained { slices, hot, handovers: BTreeMap::new() },
                        ),
                    );
                }
                Action::Fence { above } if self.settings.machines => {
                    let event = Event::Fenced { fence: above + 1 };
                    self.schedule(0, Task::Deliver(index, event));
                }
                Action::Fence { above } => {
                    let fence = self.take_fence(index, self.processes[index].slot, above);
                    self.processes[index].fence = fence;
                    self.schedule(3 * MILLI, Task::Deliver(index, Event::Fenced { fence }));
                }
                Action::Delegate { to, request } => self.delegate(index, to, request),
                Action::Rejoin | Action::Left if self.settings.machines => self.end_node(index),
                Action::Rejoin => self.rejoin(index),
                Action::Left => self.leave(index),
            }
        }
    }

    fn exclusions(&self) -> Event {
        let excluded = (0..self.settings.slots).filter(|slot| self.excluded[*slot]);
        let excluded = excluded.filter_map(|slot| self.processes.get(self.current[slot]));
        let excluded = excluded.map(|process| process.node.me()).collect();
        Event::ExcludedMembers { excluded, lost: self.declared_lost.clone() }
    }

    pub(crate) fn publish_exclusions(&mut self) {
        if self.settings.machines {
            return self.publish_machine_exclusions();
        }
        for index in 0..self.processes.len() {
            let delay = MILLI + self.random_below(200 * MILLI);
            self.schedule(delay, Task::Exclusions(index));
        }
    }
}
