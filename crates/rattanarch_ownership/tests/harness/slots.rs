//! Starts and ends of the processes in each instance slot, and their fences.

use std::time::Duration;

use rand_core::Rng;
use rattanarch_ownership::Batcher;
use rattanarch_ownership::Node;
use rattanarch_ownership::Serving;
use rattanarch_types::Fence;
use rattanarch_types::Member;

use super::Process;
use super::Simulation;
use super::members::member;
use super::simulation::MILLI;
use super::simulation::TICK;
use super::simulation::Task;

impl Simulation {
    /// Starts a new process in `slot`.
    pub fn start(&mut self, slot: usize) {
        let seed = self.rng.next_u64();
        let old = self.current.get(slot).and_then(|index| self.processes.get(*index));
        let reused = old.filter(|_| !self.settings.rules.new_boot_ids).map(|old| old.node.me());
        let me = reused.unwrap_or(self.processes.len() as u64 + 1);
        let index = self.processes.len();
        let process = self.process(index, slot, me, seed);
        self.processes.push(process);
        self.current[slot] = index;
        let first = self.random_below(TICK);
        self.schedule(first, Task::Tick(index));
        self.schedule(first, Task::Exclusions(index));
    }

    pub(crate) fn process(&mut self, index: usize, slot: usize, me: u64, seed: u64) -> Process {
        let fence = self.take_fence(index, slot, 0);
        let data_centre = format!("centre-{}", slot % self.settings.centres);
        let member = Member { data_centre, fence, ..member(&format!("slot-{slot}")) };
        let half = i64::from(self.settings.drift_ppm / 2);
        let rules = self.settings.rules;
        let node = Node::new(me, member, self.settings.timing, seed).with_rules(rules);
        let node = if self.settings.batching { node.with_batching() } else { node };
        Process {
            slot,
            node,
            batcher: Batcher::new(seed ^ 1).with_rules(rules),
            fence,
            seed,
            origin: Duration::from_secs(self.random_below(1_000)),
            drift_ppm: self.random_below(half as u64 * 2 + 1) as i64 - half,
            is_alive: true,
            paused_until: 0,
            inbox: Vec::new(),
            pending_actions: Vec::new(),
            has_left: false,
            grant_end: Duration::ZERO,
            departing: false,
            last_checked: Serving::default(),
        }
    }

    /// Has the upstream of `slot` accept a fence above `above` and all earlier ones, and returns it; 0 if
    /// the upstream checks no fences.
    pub(crate) fn take_fence(&mut self, index: usize, slot: usize, above: Fence) -> Fence {
        if !self.checks_fence[slot] {
            return 0;
        }
        self.holders[slot] = index;
        let taken = self.fences[slot].max(above);
        self.fences[slot] = taken + Member::FENCE_SPAN;
        self.fences[slot]
    }

    pub(crate) fn is_running(&self, slot: usize) -> bool {
        self.processes.iter().any(|process| process.slot == slot && process.is_alive)
    }

    /// Ends a daemon whose upstream refuses its grants because of a higher fence.
    pub(crate) fn end_superseded(&mut self, index: usize) {
        let process = &self.processes[index];
        let refused = process.fence > 0 && self.holders[process.slot] != index;
        if refused && self.now >= process.paused_until {
            self.rejoin(index);
        }
    }

    /// Ends the process; another starts in its slot unless one runs there already.
    pub(crate) fn rejoin(&mut self, index: usize) {
        self.processes[index].is_alive = false;
        let slot = self.processes[index].slot;
        self.schedule(50 * MILLI, Task::Start(slot));
    }

    pub(crate) fn leave(&mut self, index: usize) {
        self.processes[index].has_left = true;
        self.rejoin(index);
    }
}
