//! The world's time and events.

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

use super::Process;
use super::platform::Platform;

pub(crate) const MILLI: u64 = 1_000;
const SECOND: u64 = 1_000_000;
pub(crate) const TICK: u64 = 40 * MILLI;

/// What does not change in a world.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    pub slots: usize,
    pub centres: usize,
    pub slices: u16,
    pub seed: u64,
    pub rules: Rules,
    pub timing: Timing,
    /// Real bound of clock drift.
    pub drift_ppm: u32,
    /// Time between two faults of the schedule, in milliseconds.
    pub pace: u64,
    /// Share of upstreams that check fences, in percent.
    pub fenced: u64,
    /// Whether joins are gathered.
    pub gathers: bool,
}

impl Default for Setting {
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
            pace: 700,
            fenced: 70,
            gathers: false,
        }
    }
}

pub(crate) enum Due {
    Tick(usize),
    Wake(usize),
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
    Apply(usize, ChangeRequest),
    /// The process learns what operators want by then; no older word comes after a newer one.
    Intent(usize),
}

/// Processes, their network and their platform.
pub struct World {
    pub setting: Setting,
    pub now: u64,
    pub processes: Vec<Process>,
    /// Newest process of each slot.
    pub current: Vec<usize>,
    /// Highest fence that each slot's upstream has taken.
    pub fences: Vec<Fence>,
    /// Process that took a fence last, by slot; the upstream runs nothing for any other.
    pub holders: Vec<usize>,
    pub platform: Platform,
    pub messages: u64,
    pub quiesced: u64,
    pub(crate) barred: Vec<bool>,
    pub(crate) lost: Vec<u64>,
    pub(crate) cuts: BTreeMap<(usize, usize), u64>,
    pub(crate) unplugged: Vec<u64>,
    /// How long the platform answers a slot nothing from its next write on.
    pub(crate) mute_next: Vec<u64>,
    pub(crate) muted: Vec<u64>,
    pub(crate) noise: u64,
    pub(crate) checks_fence: Vec<bool>,
    pub(crate) queue: BinaryHeap<Reverse<(u64, u64)>>,
    pub(crate) due: BTreeMap<u64, Due>,
    pub(crate) count: u64,
    pub(crate) rng: ChaCha8Rng,
}

impl World {
    pub fn new(setting: Setting) -> Self {
        let mut world = Self {
            setting,
            now: SECOND,
            processes: Vec::new(),
            current: vec![usize::MAX; setting.slots],
            fences: vec![0; setting.slots],
            holders: vec![0; setting.slots],
            platform: Platform::new(Record::new("trade-desk", setting.slices)),
            messages: 0,
            quiesced: 0,
            barred: vec![false; setting.slots],
            lost: Vec::new(),
            cuts: BTreeMap::new(),
            unplugged: vec![0; setting.slots],
            mute_next: vec![0; setting.slots],
            muted: vec![0; setting.slots],
            noise: 0,
            checks_fence: Vec::new(),
            queue: BinaryHeap::new(),
            due: BTreeMap::new(),
            count: 0,
            rng: ChaCha8Rng::seed_from_u64(setting.seed),
        };
        for slot in 0..setting.slots {
            let checks = world.chance(setting.fenced);
            world.checks_fence.push(checks);
            world.start(slot);
        }
        world
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound.max(1)
    }

    pub(crate) fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    pub(crate) fn plan(&mut self, delay: u64, due: Due) {
        self.count += 1;
        self.queue.push(Reverse((self.now + delay, self.count)));
        self.due.insert(self.count, due);
    }

    /// Runs for `millis` of true time.
    pub fn run(&mut self, millis: u64) -> Result<(), String> {
        let end = self.now + millis * MILLI;
        while let Some(Reverse((time, _))) = self.queue.peek()
            && *time <= end
        {
            let Some(Reverse((time, id))) = self.queue.pop() else { break };
            self.now = time;
            if let Some(due) = self.due.remove(&id) {
                self.happen(due)?;
            }
        }
        self.now = end;
        Ok(())
    }

    fn happen(&mut self, due: Due) -> Result<(), String> {
        match due {
            Due::Tick(index) => {
                if self.processes[index].is_alive {
                    self.plan(TICK, Due::Tick(index));
                    self.end_superseded(index);
                    self.give(index, Event::Tick)?;
                    self.gather(index);
                }
            }
            Due::Wake(index) => self.wake(index)?,
            Due::Deliver(index, event) => self.give(index, event)?,
            Due::Read { process, sent } => self.answer_read(process, sent),
            Due::Write { process, record } => self.answer_write(process, record)?,
            Due::Intent(index) => {
                let intent = self.intent();
                self.give(index, intent)?;
            }
            Due::Apply(index, petition) => self.take_petition(index, petition),
            Due::Start(slot) => {
                if !self.is_manned(slot) {
                    self.start(slot);
                }
            }
        }
        Ok(())
    }

    pub(crate) fn give(&mut self, index: usize, event: Event) -> Result<(), String> {
        let now = self.now;
        let process = &mut self.processes[index];
        if !process.is_alive {
            return Ok(());
        }
        if now < process.paused {
            // A paused process loses no input but ticks, of which one does.
            if event != Event::Tick {
                process.inbox.push(event);
            }
            return Ok(());
        }
        let clock = process.clock(now);
        if let Event::Written { write_id, outcome } = &event {
            process.gatherer.settle(clock, *write_id, outcome);
        }
        let actions = process.node.step(clock, event);
        self.check(index)?;
        if self.noise > now && self.chance(1) {
            // Paused between deciding and acting.
            self.processes[index].undone.extend(actions);
            let millis = self.below(3_000);
            self.pause(index, millis);
            return Ok(());
        }
        self.act(index, actions);
        Ok(())
    }

    pub(crate) fn pause(&mut self, index: usize, millis: u64) {
        self.processes[index].paused = self.now + millis * MILLI;
        self.plan(millis * MILLI, Due::Wake(index));
    }

    fn wake(&mut self, index: usize) -> Result<(), String> {
        if self.now < self.processes[index].paused || !self.processes[index].is_alive {
            return Ok(());
        }
        let undone = std::mem::take(&mut self.processes[index].undone);
        self.act(index, undone);
        for event in std::mem::take(&mut self.processes[index].inbox) {
            self.give(index, event)?;
        }
        Ok(())
    }

    pub(crate) fn act(&mut self, index: usize, actions: Vec<Action>) {
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
                    self.plan(delay, Due::Read { process: index, sent });
                }
                Action::Write(record) => self.send_write(index, record),
                Action::Drain { slices, hot } => {
                    self.quiesced += slices.len() as u64;
                    let delay = 5 * MILLI + self.below(100 * MILLI);
                    self.plan(
                        delay,
                        Due::Deliver(
                            index,
                            Event::Drained { slices, hot, handovers: BTreeMap::new() },
                        ),
                    );
                }
                Action::Fence { above } => {
                    let fence = self.take_fence(index, self.processes[index].slot, above);
                    self.processes[index].fence = fence;
                    self.plan(3 * MILLI, Due::Deliver(index, Event::Fenced { fence }));
                }
                Action::Delegate { to, request } => self.apply(index, to, request),
                Action::Rejoin => self.rejoin(index),
                Action::Left => self.leave(index),
            }
        }
    }

    fn intent(&self) -> Event {
        let barred = (0..self.setting.slots).filter(|slot| self.barred[*slot]);
        let barred = barred.filter_map(|slot| self.processes.get(self.current[slot]));
        let barred = barred.map(|process| process.node.me()).collect();
        Event::Intent { barred, lost: self.lost.clone() }
    }

    pub(crate) fn tell_intent(&mut self) {
        for index in 0..self.processes.len() {
            let delay = MILLI + self.below(200 * MILLI);
            self.plan(delay, Due::Intent(index));
        }
    }
}
