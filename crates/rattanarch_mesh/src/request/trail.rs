//! Log lines of one request.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use log::Level;
use rattanarch_process::GRANTED;
use rattanarch_process::may_log;
use rattanarch_types::Moment;
use rattanarch_types::hash_key;

use crate::process::RequestLabels;
use crate::process::Shared;
use crate::request::Outcome;
use crate::request::Step;

/// One in this many failed requests belongs to the sample whose lines have a budget of their own: at
/// 500 refusals a second, the sample still fits it.
const WHOLE_SAMPLE: u64 = 8;

/// Decisions on one request. They are written together when it ends, a line each: if it was refused or
/// failed, or belongs to the sample of requests that ended well.
pub(crate) struct Trail {
    shared: Rc<Shared>,
    id: String,
    /// Where the request came from.
    side: &'static str,
    began: Moment,
    route: RefCell<String>,
    service: RefCell<String>,
    steps: RefCell<Vec<(Moment, Step)>>,
}

impl Trail {
    /// Begins a trail.
    pub(crate) fn begin(shared: &Rc<Shared>, id: &str, side: &'static str) -> Self {
        Self {
            shared: Rc::clone(shared),
            id: id.to_owned(),
            side,
            began: shared.now(),
            route: RefCell::default(),
            service: RefCell::default(),
            steps: RefCell::default(),
        }
    }

    /// Notes the route that the request takes.
    pub(crate) fn takes(&self, route: &str) {
        route.clone_into(&mut self.route.borrow_mut());
    }

    /// Notes the service that is to run it.
    pub(crate) fn goes_to(&self, service: &str) {
        service.clone_into(&mut self.service.borrow_mut());
    }

    /// Adds a decision.
    pub(crate) fn note(&self, step: Step) {
        self.steps.borrow_mut().push((self.shared.now(), step));
    }

    /// Ends with what an upstream, or this daemon, made of the request.
    pub(crate) fn end(&self, outcome: &Outcome) {
        match outcome {
            Outcome::Answered(response) => {
                let status = response.status();
                self.finish("answered", status.as_str(), status.is_server_error());
            }
            Outcome::Refused(refusal) => self.finish("refused", &refusal.reason.to_string(), true),
            Outcome::Failed(failure) => self.finish("failed", &failure.to_string(), true),
        }
    }

    fn finish(&self, outcome: &str, detail: &str, failed: bool) {
        let took = self.shared.now().saturating_sub(self.began);
        // What a failure says of its connection is no label: it has too many values.
        let reason = detail.split(':').next().unwrap_or_default();
        let (route, service) = (self.route.borrow(), self.service.borrow());
        let request =
            RequestLabels { side: self.side, service: &service, route: &route, outcome, reason };
        self.shared.meters.request(&request, took);
        if failed || self.is_sampled() {
            self.write(outcome, detail, took, failed);
        }
    }

    /// Whether the lines of a request that ended well are written.
    fn is_sampled(&self) -> bool {
        let sample = u64::from(self.shared.settings.log.sample);
        // By the id, so that all daemons that a request passes choose the same requests.
        sample > 0 && hash_key(&self.id).is_multiple_of(sample)
    }

    /// Writes a line for each decision and one for the end, all of them or none.
    fn write(&self, outcome: &str, detail: &str, took: Duration, failed: bool) {
        let event = if failed { "request not served" } else { "request served" };
        let level = if failed { Level::Warn } else { Level::Info };
        // By the id, so that every daemon that the request passes chooses alike.
        let whole = failed && hash_key(&self.id).is_multiple_of(WHOLE_SAMPLE);
        let steps = self.steps.borrow();
        if !may_log((event, whole), level, steps.len() as u64 + 1) {
            return;
        }
        let (id, side, took) = (&self.id, self.side, took.as_millis() as u64);
        for (at, step) in &*steps {
            let at = at.saturating_sub(self.began).as_millis() as u64;
            log::log!(target: GRANTED, level, id:% = id, side:% = side, at_ms = at,
                decision:% = step.name(), detail:% = step; "request decision");
        }
        let (route, service) = (self.route.borrow(), self.service.borrow());
        if failed {
            log::warn!(target: GRANTED, id:% = id, side:% = side, route:% = route,
                service:% = service, outcome:% = outcome, detail:% = detail, took_ms = took;
                "request not served");
        } else {
            log::info!(target: GRANTED, id:% = id, side:% = side, route:% = route,
                service:% = service, outcome:% = outcome, detail:% = detail, took_ms = took;
                "request served");
        }
    }
}
