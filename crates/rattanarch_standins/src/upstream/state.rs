//! What an upstream holds.

use std::collections::HashMap;
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;

use rattanarch_types::Fence;
use slab::Slab;
use tokio::sync::watch;

use crate::clock::machine_us;
use crate::platform::take;
use crate::upstream::Journal;
use crate::upstream::JournalEvent;
use crate::upstream::Outcome;
use crate::upstream::UpstreamSettings;
use crate::upstream::faults::InForce;
use crate::upstream::grant::Admitted;
use crate::upstream::grant::Grant;
use crate::upstream::report::Condition;
use crate::upstream::report::Reports;
use crate::upstream::warmth::Warmth;
use crate::upstream::work::Order;
use crate::upstream::work::Refusal;

/// How long an upstream that fell over refuses everything, in milliseconds.
const COLLAPSE_MS: u64 = 500;

/// A request that runs.
#[derive(Debug)]
struct Running {
    run: u64,
    request: String,
    fence: Option<Fence>,
    admitted: Option<Admitted>,
    stop: watch::Sender<Option<Outcome>>,
}

/// Why a running request is to stop before its effect; `None` lets it go on.
pub(crate) type Stop = watch::Receiver<Option<Outcome>>;

/// Place of a running request.
pub(crate) type RunId = usize;

/// What an upstream holds.
#[derive(Debug)]
pub(crate) struct State {
    /// Names this life of the upstream, whose clock starts anew with each.
    pub(crate) boot: u64,
    pub(crate) settings: UpstreamSettings,
    pub(crate) faults: InForce,
    pub(crate) grant: Grant,
    pub(crate) warmth: Warmth,
    pub(crate) journal: Journal,
    reports: Reports,
    running: Slab<Running>,
    runs: u64,
    /// End of the time in which everything is refused, on the upstream's clock.
    fallen_until: u64,
    values: HashMap<String, u64>,
}

impl State {
    pub(crate) fn new(settings: UpstreamSettings) -> Self {
        Self {
            boot: RandomState::new().hash_one(std::process::id()),
            faults: InForce::default(),
            grant: Grant::default(),
            warmth: Warmth::new(settings.slots, settings.cold),
            journal: Journal::new(&settings),
            reports: Reports::default(),
            running: Slab::new(),
            runs: 0,
            fallen_until: 0,
            values: HashMap::new(),
            settings,
        }
    }

    /// The upstream's clock, in milliseconds.
    pub(crate) fn clock(&self) -> u64 {
        machine_us() / 1_000 + self.settings.clock_offset
    }

    /// Adds an entry to the journal.
    pub(crate) fn record(&mut self, event: JournalEvent) {
        self.journal.add(machine_us(), event);
    }

    /// Requests that run under a fence lower than the grant's.
    pub(crate) fn older_running(&self) -> usize {
        let current = self.grant.fence();
        let fences = self.running.iter().filter_map(|(_, running)| running.fence);
        fences.filter(|&fence| fence < current).count()
    }

    /// Health and load as they are to be reported.
    pub(crate) fn condition(&mut self) -> Condition {
        let is = Condition {
            warm: self.warmth.is_warm(),
            draining: self.faults.draining,
            running: self.running.len(),
        };
        let now = self.clock();
        self.reports.report(now, self.faults.report, is)
    }

    /// Lets a request in, or says why it is refused and does not run.
    pub(crate) fn start(&mut self, order: &Order) -> Result<(RunId, Stop), Refusal> {
        let now = self.clock();
        if order.deadline.is_some_and(|deadline| deadline.is_zero()) {
            return Err(Refusal::Deadline);
        }
        if self.faults.draining || now < self.fallen_until || take(&mut self.faults.shed_next) {
            return Err(Refusal::Shed);
        }
        let admitted = self.admit(now, order)?;
        if self.running.len() >= self.warmth.room() {
            self.refuse_for_room(now);
            return Err(Refusal::Shed);
        }
        Ok(self.begin(order, admitted))
    }

    fn admit(&self, now: u64, order: &Order) -> Result<Option<Admitted>, Refusal> {
        if !self.settings.checks_fence {
            return Ok(None);
        }
        let admitted = order.fence.and_then(|fence| self.grant.admit(now, fence));
        admitted.map(Some).ok_or(Refusal::Fence)
    }

    fn refuse_for_room(&mut self, now: u64) {
        if !self.warmth.refuse(now) {
            return;
        }
        self.fallen_until = now + COLLAPSE_MS;
        for (_, running) in &self.running {
            running.stop.send_replace(Some(Outcome::Abandoned));
        }
    }

    fn begin(&mut self, order: &Order, admitted: Option<Admitted>) -> (RunId, Stop) {
        let run = self.runs;
        self.runs += 1;
        let started = JournalEvent::Started {
            run,
            request: order.request.clone(),
            method: order.method.to_string(),
            path: order.path.clone(),
            key: order.key.clone(),
            fence: order.fence,
            idempotency: order.idempotency.clone(),
        };
        self.record(started);
        let (stop, stopped) = watch::channel(None);
        let running =
            Running { run, request: order.request.clone(), fence: order.fence, admitted, stop };
        (self.running.insert(running), stopped)
    }

    /// Lets a running request take effect if its grant has held, and ends it.
    pub(crate) fn commit(&mut self, id: RunId, order: &Order) -> Result<u64, Refusal> {
        let now = self.clock();
        let admitted = self.running[id].admitted;
        if admitted.is_some_and(|admitted| !self.grant.holds(now, admitted)) {
            self.end(id, Outcome::GrantEnded);
            return Err(Refusal::Fence);
        }
        let value = self.apply(order);
        self.warmth.succeed();
        self.end(id, Outcome::Done);
        Ok(value)
    }

    fn apply(&mut self, order: &Order) -> u64 {
        if !order.is_write() {
            return self.values.get(&order.key).copied().unwrap_or_default();
        }
        let value = self.values.entry(order.key.clone()).or_default();
        *value += 1;
        *value
    }

    /// Ends a running request.
    pub(crate) fn end(&mut self, id: RunId, outcome: Outcome) {
        let running = self.running.remove(id);
        self.record(JournalEvent::Ended { run: running.run, outcome });
    }

    /// Cancels a request; whether it was running.
    pub(crate) fn cancel(&self, request: &str) -> bool {
        let mut all = self.running.iter();
        match all.find(|(_, running)| running.request == request) {
            Some((_, running)) => {
                running.stop.send_replace(Some(Outcome::Cancelled));
                true
            }
            None => false,
        }
    }
}
