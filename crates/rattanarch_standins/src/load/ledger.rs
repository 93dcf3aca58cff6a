//! Collects what came of all requests.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::load::KindReport;
use crate::load::LoadReport;
use crate::load::PlannedRequest;
use crate::load::RequestKind;
use crate::load::ServiceReport;
use crate::load::Unavailability;
use crate::load::attempt::Reply;
use crate::load::attempt::idempotency_key;
use crate::load::settings::Targets;

/// Longest latency that is told apart, in microseconds.
const LATENCY_LIMIT_US: u64 = 120_000_000;

/// Significant digits of a latency.
const LATENCY_DIGITS: u8 = 3;

/// Most wrong answers that are described.
const WRONG_LIMIT: usize = 20;

/// What is known of one key.
#[derive(Debug, Default)]
struct KeyState {
    /// Instance of the last right answer.
    instance: String,
    /// Time of the first failure since the last right answer.
    failing: Option<Duration>,
    /// Time of the latest failure.
    failed: Duration,
    longest: Duration,
    total: Duration,
}

/// Collects what came of all requests.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    kinds: BTreeMap<RequestKind, KindState>,
    keys: HashMap<(&'static str, String), KeyState>,
    report: LoadReport,
}

#[derive(Debug)]
struct KindState {
    report: KindReport,
    latencies: Histogram<u64>,
}

impl Ledger {
    /// Takes in one attempt that began at `start`, from the start of the run.
    pub(crate) fn attempt(&mut self, planned: &PlannedRequest, reply: &Reply, start: Duration) {
        // A target that is gone says nothing of the key.
        if !matches!(reply, Reply::Right(_) | Reply::NotSent(_)) {
            self.fail(planned, start);
        }
        let verdict = reply.verdict();
        let answer = match reply {
            Reply::Right(_) => "200".to_owned(),
            Reply::Wrong(_) => "wrong".to_owned(),
            Reply::Refused(refused) if refused.verdict.is_none() => {
                format!("{} (no verdict)", refused.status.as_u16())
            }
            Reply::Refused(refused) => format!("{} {verdict}", refused.status.as_u16()),
            Reply::NotSent(reason) | Reply::Broken(reason) => reason.clone(),
        };
        if !matches!(reply, Reply::Right(_)) {
            let errors = self.report.errors.entry(planned.kind.to_string()).or_default();
            *errors.entry(answer.clone()).or_default() += 1;
        }
        *self.report.answers.entry(answer).or_default() += 1;
        if let Reply::Wrong(what) = reply {
            self.report.wrong += 1;
            if self.report.wrong_examples.len() < WRONG_LIMIT {
                self.report.wrong_examples.push(format!("{}: {what}", planned.kind));
            }
        }
    }

    /// Takes in the end of a request at `now`, from the start of the run.
    pub(crate) fn end(
        &mut self,
        planned: &PlannedRequest,
        reply: &Reply,
        attempts: u32,
        now: Duration,
    ) {
        let state = self.kinds.entry(planned.kind).or_insert_with(KindState::new);
        state.report.sent += 1;
        state.report.retried += u64::from(attempts.saturating_sub(1));
        match reply {
            Reply::Right(instance) => {
                state.report.succeeded += 1;
                let latency = now.saturating_sub(planned.due).as_micros() as u64;
                state.latencies.saturating_record(latency);
                self.succeed(planned, instance, now);
            }
            _ => {
                state.report.failed += 1;
                self.fail(planned, planned.due);
            }
        }
    }

    fn succeed(&mut self, planned: &PlannedRequest, instance: &str, now: Duration) {
        if planned.kind.is_write() {
            self.report.acknowledged.push(idempotency_key(planned));
        }
        let service = planned.kind.service();
        let state = self.keys.entry((service, planned.key.clone())).or_default();
        if let Some(since) = state.failing.take() {
            let gap = now.saturating_sub(since);
            state.longest = state.longest.max(gap);
            state.total += gap;
        }
        let report = self.report.services.entry(service.to_owned()).or_default();
        *report.instances.entry(instance.to_owned()).or_default() += 1;
        if state.instance != instance {
            report.owner_changes += u64::from(!state.instance.is_empty());
            instance.clone_into(&mut state.instance);
        }
    }

    fn fail(&mut self, planned: &PlannedRequest, since: Duration) {
        let key = (planned.kind.service(), planned.key.clone());
        let state = self.keys.entry(key).or_default();
        state.failing.get_or_insert(since);
        state.failed = state.failed.max(since);
    }

    /// The report of a run that ended at `now`.
    pub(crate) fn finish(mut self, now: Duration, targets: &Targets) -> LoadReport {
        for (kind, mut state) in self.kinds {
            state.report.fill_latencies(&state.latencies);
            self.report.kinds.insert(kind.to_string(), state.report);
        }
        for (service, report) in &mut self.report.services {
            report.fill_imbalance(targets.of(service).len());
        }
        for (_, state) in self.keys {
            self.report.unavailable.add(&state.closed());
        }
        self.report.seconds = now.as_secs_f64();
        self.report
    }
}

impl KeyState {
    /// Counts a failure that lasts to the end as unavailable until the latest one: whether the key
    /// was served after that, nobody asked.
    fn closed(mut self) -> Self {
        if let Some(since) = self.failing.take() {
            let gap = self.failed.saturating_sub(since);
            self.longest = self.longest.max(gap);
            self.total += gap;
        }
        self
    }
}

impl Unavailability {
    fn add(&mut self, key: &KeyState) {
        self.keys += 1;
        if key.total.is_zero() {
            return;
        }
        self.affected += 1;
        self.longest_ms = self.longest_ms.max(key.longest.as_millis() as u64);
        self.total_ms += key.total.as_millis() as u64;
    }
}

impl KindState {
    fn new() -> Self {
        let latencies = Histogram::new_with_bounds(1, LATENCY_LIMIT_US, LATENCY_DIGITS);
        // The bounds are constants within the histogram's range.
        let latencies = latencies.expect("bounds of the latency histogram");
        Self { report: KindReport::default(), latencies }
    }
}

impl KindReport {
    fn fill_latencies(&mut self, latencies: &Histogram<u64>) {
        self.p50_us = latencies.value_at_quantile(0.50);
        self.p90_us = latencies.value_at_quantile(0.90);
        self.p99_us = latencies.value_at_quantile(0.99);
        self.p999_us = latencies.value_at_quantile(0.999);
        self.max_us = latencies.max();
    }
}

impl ServiceReport {
    fn fill_imbalance(&mut self, targets: usize) {
        let total: u64 = self.instances.values().sum();
        let most = self.instances.values().copied().max().unwrap_or_default();
        let count = self.instances.len().max(targets).max(1);
        let mean = total as f64 / count as f64;
        self.imbalance = if total == 0 { 0.0 } else { most as f64 / mean };
    }
}
