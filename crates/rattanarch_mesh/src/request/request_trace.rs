//! Log lines and metrics of one request.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use log::Level;
use rattanarch_process::PREAPPROVED_TARGET;
use rattanarch_process::may_log;
use rattanarch_types::Moment;
use rattanarch_types::hash_key;

use crate::process::RequestLabels;
use crate::process::Settings;
use crate::process::Shared;
use crate::request::Decision;
use crate::request::Outcome;

/// One in this many failed requests is in the sample whose lines have a log budget of their own: at
/// 500 refusals a second, the sample still fits that budget.
const FAILED_REQUEST_SAMPLE: u64 = 8;

/// Decisions on one request. They are written together when it ends, a line each, if it was refused or
/// failed, if its sender went away first, or if it is in the sample of successful requests.
pub(crate) struct RequestTrace {
    shared: Rc<Shared>,
    id: String,
    /// Side that the request came from: `caller` or `forwarded`.
    side: &'static str,
    began: Moment,
    route: RefCell<String>,
    service: RefCell<String>,
    decisions: RefCell<Vec<(Moment, Decision)>>,
    ended: Cell<bool>,
}

/// How a request ended, for its lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Served,
    NotServed,
    /// The sender went away before the end.
    Abandoned,
}

impl End {
    fn event(self) -> &'static str {
        match self {
            Self::Served => "request served",
            Self::NotServed => "request not served",
            Self::Abandoned => "request abandoned",
        }
    }
}

impl RequestTrace {
    /// Settings of the daemon.
    pub(crate) fn settings(&self) -> &Settings {
        &self.shared.settings
    }

    pub(crate) fn new(shared: &Rc<Shared>, id: &str, side: &'static str) -> Self {
        Self {
            shared: Rc::clone(shared),
            id: id.to_owned(),
            side,
            began: shared.now(),
            route: RefCell::default(),
            service: RefCell::default(),
            decisions: RefCell::default(),
            ended: Cell::new(false),
        }
    }

    /// Id of the request.
    pub(crate) fn id(&self) -> &str {
        &self.id
    }

    /// Sets the route of the request.
    pub(crate) fn set_route(&self, route: &str) {
        route.clone_into(&mut self.route.borrow_mut());
    }

    /// Sets the service that the request is sent to.
    pub(crate) fn set_service(&self, service: &str) {
        service.clone_into(&mut self.service.borrow_mut());
    }

    /// Adds a decision.
    pub(crate) fn add(&self, decision: Decision) {
        self.decisions.borrow_mut().push((self.shared.now(), decision));
    }

    /// Ends the trace with the outcome of the request: counts it and writes its lines.
    pub(crate) fn finish(&self, outcome: &Outcome) {
        self.ended.set(true);
        match outcome {
            Outcome::Answered(response) => {
                let status = response.status();
                let end = if status.is_server_error() { End::NotServed } else { End::Served };
                self.report("answered", status.as_str(), end);
            }
            Outcome::Refused(refusal) => {
                self.report("refused", &refusal.reason.to_string(), End::NotServed);
            }
            Outcome::Failed(failure) => {
                self.report("failed", &failure.to_string(), End::NotServed);
            }
        }
    }

    fn report(&self, outcome: &str, detail: &str, end: End) {
        let took = self.shared.now().saturating_sub(self.began);
        // A failure's text after the colon has too many values for a metric label.
        let reason = detail.split(':').next().unwrap_or_default();
        let (route, service) = (self.route.borrow(), self.service.borrow());
        let request =
            RequestLabels { side: self.side, service: &service, route: &route, outcome, reason };
        self.shared.meters.request(&request, took);
        if end != End::Served || self.is_sampled() {
            self.write(outcome, detail, took, end);
        }
    }

    /// Whether the lines of a successful request are written.
    fn is_sampled(&self) -> bool {
        let sample = u64::from(self.shared.settings.log.sample);
        // By the id, so that all daemons that a request passes sample the same requests.
        sample > 0 && hash_key(&self.id).is_multiple_of(sample)
    }

    /// Writes a line for each decision and one for the end, all of them or none.
    fn write(&self, outcome: &str, detail: &str, took: Duration, end: End) {
        let event = end.event();
        let level = if end == End::NotServed { Level::Warn } else { Level::Info };
        let phase = *self.shared.phase.borrow();
        // By the id, so that all daemons that a request passes sample the same requests. Also failures
        // during a planned stop, which should interrupt no request.
        let sampled = hash_key(&self.id).is_multiple_of(FAILED_REQUEST_SAMPLE);
        let preferred = end != End::Served && (sampled || outcome == "failed" && !phase.is_open());
        let decisions = self.decisions.borrow();
        if !may_log((event, preferred), level, decisions.len() as u64 + 1) {
            return;
        }
        let (id, side, took) = (&self.id, self.side, took.as_millis() as u64);
        for (at, decision) in &*decisions {
            let at = at.saturating_sub(self.began).as_millis() as u64;
            log::log!(target: PREAPPROVED_TARGET, level, id:% = id, side:% = side, at_ms = at,
                decision:% = decision.name(), detail:% = decision; "request decision");
        }
        let (route, service) = (self.route.borrow(), self.service.borrow());
        match end {
            End::Served => {
                log::info!(target: PREAPPROVED_TARGET, id:% = id, side:% = side, route:% = route,
                    service:% = service, outcome:% = outcome, detail:% = detail, took_ms = took,
                    phase:% = phase; "request served");
            }
            End::NotServed => {
                log::warn!(target: PREAPPROVED_TARGET, id:% = id, side:% = side, route:% = route,
                    service:% = service, outcome:% = outcome, detail:% = detail, took_ms = took,
                    phase:% = phase; "request not served");
            }
            End::Abandoned => {
                log::info!(target: PREAPPROVED_TARGET, id:% = id, side:% = side, route:% = route,
                    service:% = service, took_ms = took, phase:% = phase; "request abandoned");
            }
        }
    }
}

impl Drop for RequestTrace {
    fn drop(&mut self) {
        if !self.ended.get() {
            self.report("abandoned", "sender-gone", End::Abandoned);
        }
    }
}
