//! Collects the outcomes of all requests into a report.

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
use crate::load::attempt::AttemptOutcome;
use crate::load::attempt::idempotency_key;
use crate::load::settings::Targets;

/// Upper bound of the latency histogram, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Number of significant digits of a latency.
const LATENCY_DIGITS: u8 = 3;

/// Maximum number of wrong responses that are described.
const MAX_WRONG_EXAMPLES: usize = 20;

/// Availability of one key. Times are relative to the start of the run.
#[derive(Debug, Default)]
struct KeyState {
    /// Instance of the last correct response; empty before the first one.
    instance: String,
    /// Time of the first failure since the last correct response.
    failing_since: Option<Duration>,
    /// Time of the last failure.
    last_failure: Duration,
    longest_gap: Duration,
    total_gap: Duration,
}

/// Collects the outcomes of all requests into a report.
#[derive(Debug, Default)]
pub(crate) struct ReportBuilder {
    kinds: BTreeMap<RequestKind, KindState>,
    keys: HashMap<(&'static str, String), KeyState>,
    report: LoadReport,
}

#[derive(Debug)]
struct KindState {
    report: KindReport,
    latencies: Histogram<u64>,
}

impl ReportBuilder {
    /// Records one attempt that began at `start`, relative to the start of the run.
    pub(crate) fn record_attempt(
        &mut self,
        planned: &PlannedRequest,
        outcome: &AttemptOutcome,
        start: Duration,
    ) {
        // An unreachable target does not show that the key is unavailable.
        if !matches!(outcome, AttemptOutcome::Correct(_) | AttemptOutcome::NotSent(_)) {
            self.record_failure(planned, start);
        }
        let verdict = outcome.verdict();
        let label = match outcome {
            AttemptOutcome::Correct(_) => "200".to_owned(),
            AttemptOutcome::Wrong(_) => "wrong".to_owned(),
            AttemptOutcome::Refused(refused) if refused.verdict.is_none() => {
                format!("{} (no verdict)", refused.status.as_u16())
            }
            AttemptOutcome::Refused(refused) => format!("{} {verdict}", refused.status.as_u16()),
            AttemptOutcome::NotSent(reason) | AttemptOutcome::Incomplete(reason) => reason.clone(),
        };
        if !matches!(outcome, AttemptOutcome::Correct(_)) {
            let errors = self.report.errors.entry(planned.kind.to_string()).or_default();
            *errors.entry(label.clone()).or_default() += 1;
        }
        *self.report.answers.entry(label).or_default() += 1;
        if let AttemptOutcome::Wrong(what) = outcome {
            self.report.wrong += 1;
            if self.report.wrong_examples.len() < MAX_WRONG_EXAMPLES {
                self.report.wrong_examples.push(format!("{}: {what}", planned.kind));
            }
        }
    }

    /// Records the end of a request at `now`, relative to the start of the run.
    pub(crate) fn record_end(
        &mut self,
        planned: &PlannedRequest,
        outcome: &AttemptOutcome,
        attempts: u32,
        now: Duration,
    ) {
        let state = self.kinds.entry(planned.kind).or_insert_with(KindState::new);
        state.report.sent += 1;
        state.report.retried += u64::from(attempts.saturating_sub(1));
        match outcome {
            AttemptOutcome::Correct(instance) => {
                state.report.succeeded += 1;
                let latency = now.saturating_sub(planned.due).as_micros() as u64;
                state.latencies.saturating_record(latency);
                self.record_success(planned, instance, now);
            }
            _ => {
                state.report.failed += 1;
                self.record_failure(planned, planned.due);
            }
        }
    }

    fn record_success(&mut self, planned: &PlannedRequest, instance: &str, now: Duration) {
        if planned.kind.is_write() {
            self.report.acknowledged.push(idempotency_key(planned));
        }
        let service = planned.kind.service();
        let state = self.keys.entry((service, planned.key.clone())).or_default();
        if let Some(since) = state.failing_since.take() {
            let gap = now.saturating_sub(since);
            state.longest_gap = state.longest_gap.max(gap);
            state.total_gap += gap;
        }
        let report = self.report.services.entry(service.to_owned()).or_default();
        *report.instances.entry(instance.to_owned()).or_default() += 1;
        if state.instance != instance {
            report.owner_changes += u64::from(!state.instance.is_empty());
            instance.clone_into(&mut state.instance);
        }
    }

    fn record_failure(&mut self, planned: &PlannedRequest, since: Duration) {
        let key = (planned.kind.service(), planned.key.clone());
        let state = self.keys.entry(key).or_default();
        state.failing_since.get_or_insert(since);
        state.last_failure = state.last_failure.max(since);
    }

    /// Returns the report of a run that ended at `now`, relative to its start.
    pub(crate) fn finish(mut self, now: Duration, targets: &Targets) -> LoadReport {
        for (kind, mut state) in self.kinds {
            state.report.fill_latencies(&state.latencies);
            self.report.kinds.insert(kind.to_string(), state.report);
        }
        for (service, report) in &mut self.report.services {
            report.fill_imbalance(targets.for_service(service).len());
        }
        for (_, state) in self.keys {
            self.report.unavailable.add(&state.with_closed_gap());
        }
        self.report.seconds = now.as_secs_f64();
        self.report
    }
}

impl KeyState {
    /// Counts a gap that is still open at the end of the run up to the last failure, since no later
    /// request tested the availability of the key.
    fn with_closed_gap(mut self) -> Self {
        if let Some(since) = self.failing_since.take() {
            let gap = self.last_failure.saturating_sub(since);
            self.longest_gap = self.longest_gap.max(gap);
            self.total_gap += gap;
        }
        self
    }
}

impl Unavailability {
    fn add(&mut self, key: &KeyState) {
        self.keys += 1;
        if key.total_gap.is_zero() {
            return;
        }
        self.affected += 1;
        self.longest_ms = self.longest_ms.max(key.longest_gap.as_millis() as u64);
        self.total_ms += key.total_gap.as_millis() as u64;
    }
}

impl KindState {
    fn new() -> Self {
        let latencies = Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS);
        // The bounds are constants within the range of the histogram.
        let latencies = latencies.expect("valid bounds of the latency histogram");
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
