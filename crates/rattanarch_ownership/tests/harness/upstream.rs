//! One simulated upstream: lives in a slot, what each holds, and its heartbeats.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rattanarch_types::Fence;
use rattanarch_types::SliceId;

use super::Simulation;
use super::machine::MachineTask;
use super::simulation::MILLI;
use super::simulation::Task;

/// Time after which an upstream no longer waits for the reply to a heartbeat, on its clock in microseconds.
const REPLY_TIMEOUT: u64 = 1_000 * MILLI;

/// Largest deviation of an upstream's clock, in parts per million: how much slower it may run.
const MAX_SLOWNESS_PPM: u64 = 20_000;

/// What an upstream holds of one slice.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hold {
    pub(crate) fence: Fence,
    /// True time at which it ends, in microseconds.
    pub(crate) until: u64,
    /// True time at which the work for a slice that the last reply left out has ended.
    pub(crate) released_at: Option<u64>,
}

/// What a heartbeat tells the daemon.
#[derive(Clone, Debug)]
pub(crate) struct Heartbeat {
    /// Number of the life; lives that start later have higher ones.
    pub(crate) life: u64,
    pub(crate) sequence: u64,
    pub(crate) held: BTreeMap<SliceId, Fence>,
    pub(crate) leaving: bool,
}

/// Neighbouring slices that are granted under one fence.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    pub(crate) slices: Vec<SliceId>,
    pub(crate) fence: Fence,
}

/// The reply to a heartbeat; without grants it renews nothing.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub(crate) life: u64,
    pub(crate) sequence: u64,
    pub(crate) grants: Option<(Vec<Row>, Duration)>,
}

/// The current life of a slot's upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) life: u64,
    pub(crate) is_alive: bool,
    pub(crate) leaving: bool,
    slowness_ppm: u64,
    sequence: u64,
    /// Highest fence that this life has seen, by slice.
    seen: BTreeMap<SliceId, Fence>,
    holds: BTreeMap<SliceId, Hold>,
    /// True time at which the heartbeat was sent whose reply is awaited.
    awaited_since: Option<u64>,
}

impl Upstream {
    pub(crate) fn new(life: u64, slowness_ppm: u64) -> Self {
        Self {
            life,
            is_alive: true,
            leaving: false,
            slowness_ppm,
            sequence: 0,
            seen: BTreeMap::new(),
            holds: BTreeMap::new(),
            awaited_since: None,
        }
    }

    /// How much true time passes while this upstream's clock advances by `duration`, in microseconds.
    fn true_time(&self, duration: u64) -> u64 {
        duration * 1_000_000 / (1_000_000 - self.slowness_ppm)
    }

    fn end_expired(&mut self, now: u64) {
        self.holds.retain(|_, hold| {
            now < hold.until && hold.released_at.is_none_or(|released_at| now < released_at)
        });
    }

    /// The fence under which it holds `slice` at true time `now`.
    pub(crate) fn held(&self, now: u64, slice: SliceId) -> Option<Fence> {
        let hold = self.holds.get(&slice).filter(|_| self.is_alive)?;
        let works = hold.released_at.is_none_or(|released_at| now < released_at);
        (now < hold.until && works).then_some(hold.fence)
    }

    fn is_releasing(&self) -> bool {
        self.holds.values().any(|hold| hold.released_at.is_some())
    }
}

impl Simulation {
    /// Starts a new life of the upstream of `slot`, which holds and knows nothing.
    pub(crate) fn start_upstream(&mut self, slot: usize) {
        self.lives += 1;
        let slowness_ppm = self.random_below(MAX_SLOWNESS_PPM + 1);
        let upstream = Upstream::new(self.lives, slowness_ppm);
        let life = upstream.life;
        self.machines[slot].upstream = upstream;
        let delay = self.random_below(100 * MILLI);
        self.schedule(delay, Task::Machine(slot, MachineTask::SendHeartbeat(life)));
    }

    /// Ends the life of the upstream of `slot`.
    pub(crate) fn end_upstream(&mut self, slot: usize) {
        let upstream = &mut self.machines[slot].upstream;
        upstream.is_alive = false;
        upstream.holds.clear();
    }

    pub(crate) fn send_heartbeat(&mut self, slot: usize, life: u64) {
        let now = self.now;
        let upstream = &mut self.machines[slot].upstream;
        if upstream.life != life || !upstream.is_alive || upstream.awaited_since.is_some() {
            return;
        }
        upstream.end_expired(now);
        upstream.sequence += 1;
        upstream.awaited_since = Some(now);
        let sequence = upstream.sequence;
        let held = upstream.holds.iter().map(|(slice, hold)| (*slice, hold.fence)).collect();
        let beat = Heartbeat { life, sequence, held, leaving: upstream.leaving };
        let timeout = upstream.true_time(REPLY_TIMEOUT);
        self.schedule(timeout, Task::Machine(slot, MachineTask::ReplyTimeout(life, sequence)));
        let machine = &mut self.machines[slot];
        let first_of_crash = machine.crash_in_release.is_some() && machine.held_back.is_empty();
        if machine.holds_back || first_of_crash {
            machine.held_back.push(beat);
            return;
        }
        let late = now < machine.late_until;
        let late = self.chance(if late { 50 } else { 1 });
        let delay =
            if late { self.random_below(4_000 * MILLI) } else { self.random_below(4 * MILLI) };
        self.schedule(MILLI + delay, Task::Machine(slot, MachineTask::Heartbeat(beat)));
    }

    /// Has the upstream send its next heartbeat an interval after the last one, or soon if it is releasing slices.
    fn schedule_heartbeat(&mut self, slot: usize, sent: u64) {
        let upstream = &self.machines[slot].upstream;
        let life = upstream.life;
        let due = if upstream.is_releasing() {
            self.now + self.random_below(100 * MILLI)
        } else {
            sent + self.settings.upstream_heartbeat_ms * MILLI
        };
        let delay = due.saturating_sub(self.now);
        self.schedule(delay, Task::Machine(slot, MachineTask::SendHeartbeat(life)));
    }

    pub(crate) fn reply_timeout(&mut self, slot: usize, life: u64, sequence: u64) {
        let upstream = &mut self.machines[slot].upstream;
        if upstream.life != life || upstream.sequence != sequence {
            return;
        }
        if let Some(sent) = upstream.awaited_since.take() {
            self.schedule_heartbeat(slot, sent);
        }
    }

    /// Takes the reply to the last heartbeat; a reply to an earlier one, or to another life's, is ignored.
    pub(crate) fn take_reply(&mut self, slot: usize, reply: &Reply) -> Result<(), String> {
        let now = self.now;
        let upstream = &mut self.machines[slot].upstream;
        if upstream.life != reply.life || upstream.sequence != reply.sequence {
            return Ok(());
        }
        let Some(sent) = upstream.awaited_since.take().filter(|_| upstream.is_alive) else {
            return Ok(());
        };
        upstream.end_expired(now);
        if let Some((rows, hold_time)) = &reply.grants {
            let until = sent + upstream.true_time(hold_time.as_micros() as u64);
            let mut granted = BTreeSet::new();
            for row in rows {
                self.take_row(slot, row, until, &mut granted)?;
            }
            let work = self.random_below(150 * MILLI);
            let holds = self.machines[slot].upstream.holds.iter_mut();
            for (_, hold) in holds.filter(|(slice, _)| !granted.contains(*slice)) {
                hold.released_at.get_or_insert(now + work);
            }
        }
        self.schedule_heartbeat(slot, sent);
        Ok(())
    }

    /// Takes the slices of `row`, unless the upstream has seen a higher fence on one of them.
    fn take_row(
        &mut self,
        slot: usize,
        row: &Row,
        until: u64,
        granted: &mut BTreeSet<SliceId>,
    ) -> Result<(), String> {
        let upstream = &self.machines[slot].upstream;
        let seen = |slice: &SliceId| upstream.seen.get(slice).copied().unwrap_or_default();
        if row.slices.iter().any(|slice| seen(slice) > row.fence) {
            self.counts.rejected_rows += 1;
            return Ok(());
        }
        if until <= self.now {
            return Ok(());
        }
        for slice in &row.slices {
            let before = self.machines[slot].upstream.held(self.now, *slice);
            if before != Some(row.fence) {
                self.check_take(slot, *slice, row.fence)?;
            }
            self.check_sole_holder(slot, *slice)?;
            let upstream = &mut self.machines[slot].upstream;
            upstream.seen.insert(*slice, row.fence);
            let hold = Hold { fence: row.fence, until, released_at: None };
            upstream.holds.insert(*slice, hold);
            granted.insert(*slice);
        }
        Ok(())
    }

    /// Checks that `fence` is above all with which other lives took `slice`.
    fn check_take(&mut self, slot: usize, slice: SliceId, fence: Fence) -> Result<(), String> {
        self.counts.takes += 1;
        let life = self.machines[slot].upstream.life;
        let taken = self.taken.entry(slice).or_default();
        let others = taken.iter().filter(|(other, _)| **other != life);
        if let Some((other, higher)) = others.max_by_key(|(_, fence)| **fence)
            && *higher >= fence
        {
            return Err(format!(
                "{} µs: slice {slice} went to life {life} in slot {slot} with fence {fence}; \
                 life {other} had it with fence {higher}",
                self.now
            ));
        }
        let highest = taken.entry(life).or_default();
        *highest = fence.max(*highest);
        Ok(())
    }

    /// Checks that no upstream in another slot holds `slice`.
    fn check_sole_holder(&self, slot: usize, slice: SliceId) -> Result<(), String> {
        let mut others = self.machines.iter().enumerate().filter(|(other, _)| *other != slot);
        match others.find(|(_, machine)| machine.upstream.held(self.now, slice).is_some()) {
            Some((other, _)) => Err(format!(
                "{} µs: slice {slice} is held by the upstreams of slots {other} and {slot}",
                self.now
            )),
            None => Ok(()),
        }
    }

    /// Checks that an upstream holds each slice.
    pub fn check_all_held(&self) -> Result<(), String> {
        for slice in 0..self.settings.slices {
            let holds = |machine: &super::machine::Machine| {
                machine.upstream.held(self.now, slice).is_some()
            };
            if !self.machines.iter().any(holds) {
                let daemons: Vec<_> =
                    self.machines.iter().map(|machine| machine.daemon.describe(slice)).collect();
                let daemons = daemons.join("\n  ");
                return Err(format!(
                    "slice {slice} is unserved: no upstream holds it: {}  {daemons}",
                    self.describe()
                ));
            }
        }
        Ok(())
    }
}
