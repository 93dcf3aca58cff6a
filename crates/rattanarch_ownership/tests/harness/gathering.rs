//! Petitions that daemons write for others.

use std::collections::BTreeSet;

use rattanarch_ownership::ChangeRequest;
use rattanarch_ownership::Departure;
use rattanarch_ownership::Event;
use rattanarch_types::BootId;

use super::World;
use super::world::Due;
use super::world::MILLI;

impl World {
    /// Takes a petition to the daemon of `to`, or to its own; it may get lost or come late.
    pub(crate) fn apply(&mut self, from: usize, to: Option<BootId>, petition: ChangeRequest) {
        if let ChangeRequest::Depart(Departure::Leave { .. }) = &petition {
            self.processes[from].departing = true;
        }
        let Some(to) = to else { return self.plan(0, Due::Apply(from, petition)) };
        let found = self.processes.iter().rposition(|process| process.node.me() == to);
        // Whoever runs in the slot of the member takes it.
        let slot = found.map(|index| self.processes[index].slot);
        let here = slot.map(|slot| self.current[slot]);
        let reached = here.filter(|to| self.processes[*to].is_alive && !self.is_cut(from, *to));
        let lost = self.noise > self.now && self.chance(20);
        let Some(index) = reached.filter(|_| !lost) else {
            return self.plan(5 * MILLI, Due::Deliver(from, Event::Declined { by: to }));
        };
        let late = self.noise > self.now && self.chance(10);
        let spread = if late { 2_000 * MILLI } else { 3 * MILLI };
        let delay = MILLI + self.below(spread);
        self.plan(delay, Due::Apply(index, petition));
    }

    pub(crate) fn take_petition(&mut self, index: usize, petition: ChangeRequest) {
        let now = self.now;
        let process = &mut self.processes[index];
        if process.is_alive && now >= process.paused {
            process.gatherer.add(process.clock(now), petition);
        }
    }

    /// Writes what the process has gathered, if it is due.
    pub(crate) fn gather(&mut self, index: usize) {
        let now = self.now;
        let process = &mut self.processes[index];
        if !process.is_alive || now < process.paused {
            return;
        }
        let clock = process.clock(now);
        let nobody = BTreeSet::new();
        let Some(record) = process.node.record() else { return };
        let draft = process.gatherer.draft(clock, record, &nobody, &nobody);
        if let Some(draft) = draft {
            self.send_write(index, draft);
        }
    }
}
