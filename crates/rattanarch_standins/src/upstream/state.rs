//! State of an upstream.

use std::collections::HashMap;
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;

use rattanarch_types::Fence;
use slab::Slab;
use tokio::sync::watch;

use crate::clock::machine_us;
use crate::platform::consume;
use crate::upstream::Journal;
use crate::upstream::JournalEvent;
use crate::upstream::Outcome;
use crate::upstream::UpstreamSettings;
use crate::upstream::faults::ActiveFaults;
use crate::upstream::grant::Admitted;
use crate::upstream::grant::Grant;
use crate::upstream::report::Condition;
use crate::upstream::report::ReportHistory;
use crate::upstream::warmup::Warmup;
use crate::upstream::work_request::Refusal;
use crate::upstream::work_request::WorkRequest;

/// Time for which an upstream refuses all requests after a collapse, in milliseconds.
const COLLAPSE_MS: u64 = 500;

/// A request that is being executed.
#[derive(Debug)]
struct Running {
    run: u64,
    request_id: String,
    fence: Option<Fence>,
    admitted: Option<Admitted>,
    stop: watch::Sender<Option<Outcome>>,
}

/// Reason why a running request must stop before it takes effect; `None` while it may continue.
pub(crate) type StopSignal = watch::Receiver<Option<Outcome>>;

/// Index of a running request.
pub(crate) type ExecutionId = usize;

/// State of an upstream.
#[derive(Debug)]
pub(crate) struct State {
    /// Boot id of the upstream. Times on its clock are only comparable within one boot.
    pub(crate) boot: u64,
    pub(crate) settings: UpstreamSettings,
    pub(crate) faults: ActiveFaults,
    pub(crate) grant: Grant,
    pub(crate) warmup: Warmup,
    pub(crate) journal: Journal,
    report_history: ReportHistory,
    running: Slab<Running>,
    next_run: u64,
    /// Time until which all requests are refused, in milliseconds on the clock of the upstream.
    collapsed_until: u64,
    values: HashMap<String, u64>,
}

impl State {
    pub(crate) fn new(settings: UpstreamSettings) -> Self {
        Self {
            boot: RandomState::new().hash_one(std::process::id()),
            faults: ActiveFaults::default(),
            grant: Grant::default(),
            warmup: Warmup::new(settings.slots, settings.cold),
            journal: Journal::new(&settings),
            report_history: ReportHistory::default(),
            running: Slab::new(),
            next_run: 0,
            collapsed_until: 0,
            values: HashMap::new(),
            settings,
        }
    }

    /// Current time on the clock of the upstream, in milliseconds.
    pub(crate) fn clock(&self) -> u64 {
        machine_us() / 1_000 + self.settings.clock_offset
    }

    /// Appends an event to the journal.
    pub(crate) fn record(&mut self, event: JournalEvent) {
        self.journal.add(machine_us(), event);
    }

    /// Number of running requests whose fence is lower than that of the grant.
    pub(crate) fn older_running(&self) -> usize {
        let current = self.grant.fence();
        let fences = self.running.iter().filter_map(|(_, running)| running.fence);
        fences.filter(|&fence| fence < current).count()
    }

    /// Health and load to report.
    pub(crate) fn condition(&mut self) -> Condition {
        let actual = Condition {
            warm: self.warmup.is_warm(),
            draining: self.faults.draining,
            running: self.running.len(),
        };
        let now = self.clock();
        self.report_history.report(now, self.faults.report, actual)
    }

    /// Admits a request and starts its execution, or returns the reason for the refusal.
    pub(crate) fn start(
        &mut self,
        work: &WorkRequest,
    ) -> Result<(ExecutionId, StopSignal), Refusal> {
        let now = self.clock();
        if work.deadline.is_some_and(|deadline| deadline.is_zero()) {
            return Err(Refusal::Deadline);
        }
        if self.faults.draining || now < self.collapsed_until || consume(&mut self.faults.shed_next)
        {
            return Err(Refusal::Shed);
        }
        let admitted = self.admit(now, work)?;
        if self.running.len() >= self.warmup.capacity() {
            self.refuse_for_capacity(now);
            return Err(Refusal::Shed);
        }
        Ok(self.start_execution(work, admitted))
    }

    fn admit(&self, now: u64, work: &WorkRequest) -> Result<Option<Admitted>, Refusal> {
        if !self.settings.checks_fence {
            return Ok(None);
        }
        let admitted = work.fence.and_then(|fence| self.grant.admit(now, fence));
        admitted.map(Some).ok_or(Refusal::Fence)
    }

    /// Records a refusal for lack of capacity; if the upstream collapses, stops all running requests.
    fn refuse_for_capacity(&mut self, now: u64) {
        if !self.warmup.record_refusal(now) {
            return;
        }
        self.collapsed_until = now + COLLAPSE_MS;
        for (_, running) in &self.running {
            running.stop.send_replace(Some(Outcome::Abandoned));
        }
    }

    fn start_execution(
        &mut self,
        work: &WorkRequest,
        admitted: Option<Admitted>,
    ) -> (ExecutionId, StopSignal) {
        let run = self.next_run;
        self.next_run += 1;
        let started = JournalEvent::Started {
            run,
            request: work.request_id.clone(),
            method: work.method.to_string(),
            path: work.path.clone(),
            key: work.key.clone(),
            fence: work.fence,
            idempotency: work.idempotency_key.clone(),
        };
        self.record(started);
        let (stop, stopped) = watch::channel(None);
        let running =
            Running { run, request_id: work.request_id.clone(), fence: work.fence, admitted, stop };
        (self.running.insert(running), stopped)
    }

    /// Ends a running request; it takes effect unless its grant has expired since it was admitted.
    pub(crate) fn commit(&mut self, id: ExecutionId, work: &WorkRequest) -> Result<u64, Refusal> {
        let now = self.clock();
        let admitted = self.running[id].admitted;
        if admitted.is_some_and(|admitted| !self.grant.holds(now, admitted)) {
            self.end(id, Outcome::GrantEnded);
            return Err(Refusal::Fence);
        }
        let value = self.apply(work);
        self.warmup.record_success();
        self.end(id, Outcome::Done);
        Ok(value)
    }

    fn apply(&mut self, work: &WorkRequest) -> u64 {
        if !work.is_write() {
            return self.values.get(&work.key).copied().unwrap_or_default();
        }
        let value = self.values.entry(work.key.clone()).or_default();
        *value += 1;
        *value
    }

    /// Removes a running request and records its outcome.
    pub(crate) fn end(&mut self, id: ExecutionId, outcome: Outcome) {
        let running = self.running.remove(id);
        self.record(JournalEvent::Ended { run: running.run, outcome });
    }

    /// Cancels the request with this id; returns whether it was running.
    pub(crate) fn cancel(&self, request_id: &str) -> bool {
        let mut all = self.running.iter();
        match all.find(|(_, running)| running.request_id == request_id) {
            Some((_, running)) => {
                running.stop.send_replace(Some(Outcome::Cancelled));
                true
            }
            None => false,
        }
    }
}
