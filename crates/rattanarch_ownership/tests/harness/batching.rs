//! Change requests that daemons write for others.

use std::collections::BTreeSet;

use rattanarch_ownership::ChangeRequest;
use rattanarch_ownership::Departure;
use rattanarch_ownership::Event;
use rattanarch_types::BootId;

use super::Simulation;
use super::simulation::MILLI;
use super::simulation::Task;

impl Simulation {
    /// Sends a change request to the daemon of `to`, or to the sender's own; it may be lost or delayed.
    pub(crate) fn delegate(&mut self, from: usize, to: Option<BootId>, request: ChangeRequest) {
        if let ChangeRequest::Depart(Departure::Leave { .. }) = &request {
            self.processes[from].departing = true;
        }
        let Some(to) = to else { return self.schedule(0, Task::Delegated(from, request)) };
        let found = self.processes.iter().rposition(|process| process.node.me() == to);
        // The process that now runs in the member's slot receives it.
        let slot = found.map(|index| self.processes[index].slot);
        let newest = slot.map(|slot| self.current[slot]);
        let reached = newest.filter(|to| self.processes[*to].is_alive && !self.is_cut(from, *to));
        let lost = self.noise_until > self.now && self.chance(20);
        let Some(index) = reached.filter(|_| !lost) else {
            return self.schedule(5 * MILLI, Task::Deliver(from, Event::Declined { by: to }));
        };
        if matches!(request, ChangeRequest::Release(_))
            && let Some(delay) = self.crash_in_release(from)
        {
            return self.schedule(delay, Task::Delegated(index, request));
        }
        let late = self.noise_until > self.now && self.chance(10);
        let spread = if late { 2_000 * MILLI } else { 3 * MILLI };
        let delay = MILLI + self.random_below(spread);
        self.schedule(delay, Task::Delegated(index, request));
    }

    pub(crate) fn receive_request(&mut self, index: usize, request: ChangeRequest) {
        let now = self.now;
        let process = &mut self.processes[index];
        if process.is_alive && now >= process.paused_until {
            process.batcher.add(process.clock(now), request);
        }
    }

    /// Writes the process's batch of change requests, if it is due.
    pub(crate) fn write_batch(&mut self, index: usize) {
        let now = self.now;
        let process = &mut self.processes[index];
        if !process.is_alive || now < process.paused_until {
            return;
        }
        let clock = process.clock(now);
        let no_members = BTreeSet::new();
        let Some(record) = process.node.record() else { return };
        let draft = process.batcher.draft(clock, record, &no_members, &no_members);
        if let Some(draft) = draft {
            self.send_write(index, draft);
        }
    }
}
