//! The simulated network between processes, and between a process and the platform.

use std::time::Duration;

use rattanarch_ownership::Event;
use rattanarch_ownership::WriteOutcome;
use rattanarch_types::Record;

use super::Simulation;
use super::simulation::MILLI;
use super::simulation::Task;

/// Time after which a daemon reports the outcome of an unanswered write as unknown, in microseconds.
const ANSWER_TIMEOUT: u64 = 300 * MILLI;

impl Simulation {
    pub(crate) fn send(&mut self, from: usize, to: u64, event: &Event) {
        self.messages += 1;
        let found = self.processes.iter().rposition(|process| process.node.me() == to);
        let Some(to) = found.filter(|to| !self.is_cut(from, *to)) else { return };
        let noisy = self.noise_until > self.now;
        if noisy && self.chance(15) {
            return;
        }
        let copies = if noisy && self.chance(10) { 2 } else { 1 };
        for _ in 0..copies {
            let late = noisy && self.chance(10);
            let spread = if late { 2_000 * MILLI } else { 3 * MILLI };
            let delay = MILLI + self.random_below(spread);
            self.schedule(delay, Task::Deliver(to, event.clone()));
        }
    }

    pub(crate) fn is_cut(&self, from: usize, to: usize) -> bool {
        let slots = (self.processes[from].slot, self.processes[to].slot);
        self.cuts.get(&slots).is_some_and(|until| self.now < *until)
    }

    pub(crate) fn platform_delay(&mut self) -> u64 {
        let late = self.noise_until > self.now && self.chance(15);
        let spread = if late { 2_500 * MILLI } else { 4 * MILLI };
        MILLI + self.random_below(spread)
    }

    fn reaches_platform(&self, index: usize) -> bool {
        self.slot_reaches_platform(self.processes[index].slot)
    }

    fn slot_reaches_platform(&self, slot: usize) -> bool {
        self.now >= self.platform.down_until && self.now >= self.no_platform_until[slot]
    }

    fn receives_answers(&self, index: usize) -> bool {
        self.slot_receives_answers(self.processes[index].slot)
    }

    pub(crate) fn slot_receives_answers(&self, slot: usize) -> bool {
        self.slot_reaches_platform(slot) && self.now >= self.no_answers_until[slot]
    }

    pub(crate) fn answer_read(&mut self, index: usize, sent: Duration) {
        if !self.receives_answers(index) {
            return;
        }
        self.platform.reads += 1;
        let noisy = self.noise_until > self.now;
        let stale = noisy && self.chance(20);
        let record = if stale { &self.platform.previous } else { &self.platform.stored }.clone();
        let delay = self.platform_delay();
        self.schedule(delay, Task::Deliver(index, Event::Record { record, read_sent: Some(sent) }));
    }

    pub(crate) fn send_write(&mut self, index: usize, record: Record) {
        let write_id = record.write_id;
        let slot = self.processes[index].slot;
        let duration = std::mem::take(&mut self.drop_answers_for[slot]);
        if duration > 0 {
            self.no_answers_until[slot] = self.now + duration;
        }
        if !self.reaches_platform(index) {
            let outcome =
                if self.chance(50) { WriteOutcome::Failed } else { WriteOutcome::Unknown };
            let event = Event::Written { write_id, outcome };
            return self.schedule(20 * MILLI, Task::Deliver(index, event));
        }
        let delay = if self.is_release(index, &record) {
            self.crash_in_release(index).unwrap_or_else(|| self.platform_delay())
        } else {
            self.platform_delay()
        };
        self.schedule(delay, Task::Write { process: index, record });
        if delay > ANSWER_TIMEOUT {
            let event = Event::Written { write_id, outcome: WriteOutcome::Unknown };
            self.schedule(ANSWER_TIMEOUT, Task::Deliver(index, event));
        }
    }

    /// Whether `record` gives slices of its writer to others.
    fn is_release(&self, index: usize, record: &Record) -> bool {
        let me = Some(self.processes[index].node.me());
        let owners = self.platform.stored.owners.iter().zip(&record.owners);
        owners.into_iter().any(|(old, new)| *old == me && *new != me)
    }

    /// Applies an update, even if its sender has ended meanwhile.
    pub(crate) fn answer_write(&mut self, index: usize, mut record: Record) -> Result<(), String> {
        if self.now < self.platform.down_until {
            let event =
                Event::Written { write_id: record.write_id, outcome: WriteOutcome::Unknown };
            self.schedule(ANSWER_TIMEOUT, Task::Deliver(index, event));
            return Ok(());
        }
        let write_id = record.write_id;
        if record.version == self.platform.stored.version + 1 {
            self.check_write(self.processes[index].node.me(), &record)?;
        }
        let slot = self.processes[index].slot;
        let tokenless = self.machines.get(slot).is_some_and(|m| self.now < m.tokenless_until);
        if tokenless {
            record = record.with_fences();
        }
        let mut outcome = self.platform.write(record);
        if outcome == WriteOutcome::Accepted {
            self.notify_watches();
        }
        let lost = self.noise_until > self.now && self.chance(40);
        // A writer without tokens has to read the ones that others count on.
        let lost = lost || tokenless || !self.receives_answers(index);
        if lost {
            outcome = WriteOutcome::Unknown;
        }
        let delay = if lost { ANSWER_TIMEOUT } else { self.platform_delay() };
        self.schedule(delay, Task::Deliver(index, Event::Written { write_id, outcome }));
        Ok(())
    }

    fn notify_watches(&mut self) {
        if self.settings.machines {
            return self.notify_machines();
        }
        for index in 0..self.processes.len() {
            if self.receives_answers(index) && (self.noise_until <= self.now || self.chance(60)) {
                let record = self.platform.stored.clone();
                let delay = self.platform_delay();
                self.schedule(
                    delay,
                    Task::Deliver(index, Event::Record { record, read_sent: None }),
                );
            }
        }
    }
}
