//! Requests that any instance may run.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;

use hyper::Response;
use rattanarch_types::BootId;
use rattanarch_types::Member;

use crate::request::OutBody;
use crate::request::RequestError;
use crate::request::RequestPath;
use crate::request::job::Job;
use crate::version;
use crate::version::View;

impl RequestPath {
    /// Runs the request at the better of two random members, once more elsewhere if the first
    /// attempt allows it.
    pub(super) async fn run_unkeyed(
        &self,
        job: &mut Job,
    ) -> Result<Response<OutBody>, RequestError> {
        if job.forwarded {
            return self.run_barring(job).await;
        }
        let Some(first) = self.choose(None) else { return Err(self.no_instance()) };
        let outcome = self.run_at(job, first).await;
        let Some(second) = self.choose(Some(first)) else { return outcome };
        if !self.may_retry(job, &outcome, true) {
            return outcome;
        }
        self.run_at(job, second).await
    }

    async fn run_at(
        &self,
        job: &mut Job,
        member: BootId,
    ) -> Result<Response<OutBody>, RequestError> {
        if member == self.views.current().serving.me {
            return self.run_here(job, None).await;
        }
        self.forward(job, member).await
    }

    /// Runs a forwarded request here, unless this instance has been taken out of service.
    async fn run_barring(&self, job: &mut Job) -> Result<Response<OutBody>, RequestError> {
        let view = self.views.current();
        let own = view.serving.record.members.get(&view.serving.me);
        if view.stopping || own.is_some_and(|member| is_barred(&view, member)) {
            return Err(self.no_instance());
        }
        self.run_here(job, None).await
    }

    /// The better of two random members that take work, other than `tried`.
    fn choose(&self, tried: Option<BootId>) -> Option<BootId> {
        let view = self.views.current();
        let members = &view.serving.record.members;
        let me = view.serving.me;
        let takes_work = |boot: &BootId, member: &Member| {
            Some(*boot) != tried && !is_barred(&view, member) && !(view.stopping && *boot == me)
        };
        let open: Vec<_> =
            members.iter().filter(|(boot, member)| takes_work(boot, member)).collect();
        let mut draws = Draws::new();
        let first = draws.next(open.len())?;
        let Some(second) = draws.next(open.len() - 1) else { return Some(*open[first].0) };
        let second = if second >= first { second + 1 } else { second };
        let cost = |place: usize| {
            let (boot, member) = open[place];
            if *boot == me {
                return self.upstream.cost();
            }
            self.peers.get(member.caller, &view.serving.record).cost()
        };
        let better = if cost(second) < cost(first) { second } else { first };
        Some(*open[better].0)
    }

    fn no_instance(&self) -> RequestError {
        RequestError::NoInstance(self.settings.service.clone())
    }
}

/// Whether operators, or the member itself, have taken it out of service.
fn is_barred(view: &View, member: &Member) -> bool {
    let service = &view.serving.record.service;
    member.leaving || version::is_barred(&view.configuration, service, member)
}

/// Random numbers for one choice.
struct Draws {
    state: RandomState,
    count: u32,
}

impl Draws {
    fn new() -> Self {
        Self { state: RandomState::new(), count: 0 }
    }

    /// A number below `end`; `None` if there is none.
    fn next(&mut self, end: usize) -> Option<usize> {
        self.count += 1;
        let drawn = self.state.hash_one(self.count);
        (drawn as usize).checked_rem(end)
    }
}
