//! Log lines of one request.

use std::cell::RefCell;
use std::rc::Rc;

use rattanarch_process::random;
use rattanarch_types::Moment;

use crate::process::Shared;
use crate::request::Outcome;

/// Decisions on one request. They are written together when it ends: all of them if it was refused
/// or failed, or belongs to the sample of requests that ended well.
pub(crate) struct Trail {
    shared: Rc<Shared>,
    id: String,
    /// Where the request came from.
    side: &'static str,
    began: Moment,
    steps: RefCell<Vec<(Moment, String)>>,
}

impl Trail {
    /// Begins a trail.
    pub(crate) fn begin(shared: &Rc<Shared>, id: &str, side: &'static str) -> Self {
        let began = shared.now();
        let (shared, id) = (Rc::clone(shared), id.to_owned());
        Self { shared, id, side, began, steps: RefCell::default() }
    }

    /// Adds a decision and what decided it.
    pub(crate) fn note(&self, step: String) {
        self.steps.borrow_mut().push((self.shared.now(), step));
    }

    /// Ends with what an upstream, or this daemon, made of the request.
    pub(crate) fn end(&self, outcome: &Outcome) {
        match outcome {
            Outcome::Answered(response) if !response.status().is_server_error() => {
                self.end_well(response.status().as_u16());
            }
            Outcome::Answered(response) => {
                self.write("answered", &response.status().as_u16(), true)
            }
            Outcome::Refused(refusal) => self.write("refused", &refusal.reason, true),
            Outcome::Failed(failure) => self.write("failed", failure, true),
        }
    }

    fn end_well(&self, status: u16) {
        let sample = u64::from(self.shared.settings.log.sample);
        if sample > 0 && random() % sample == 0 {
            self.write("answered", &status, false);
        }
    }

    fn write(&self, outcome: &str, detail: &dyn std::fmt::Display, failed: bool) {
        let took = self.shared.now().saturating_sub(self.began).as_millis() as u64;
        let steps: Vec<String> = self
            .steps
            .borrow()
            .iter()
            .map(|(at, step)| format!("{}ms {step}", at.saturating_sub(self.began).as_millis()))
            .collect();
        let steps = steps.join("; ");
        let (id, side) = (&self.id, self.side);
        if failed {
            log::warn!(id:% = id, side:% = side, outcome:% = outcome, detail:% = detail,
                took_ms = took, steps:% = steps; "request not served");
        } else {
            log::info!(id:% = id, side:% = side, outcome:% = outcome, detail:% = detail,
                took_ms = took, steps:% = steps; "request served");
        }
    }
}
