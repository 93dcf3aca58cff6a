//! What has become of the tries of one request.

use std::net::SocketAddr;

use crate::request::Call;
use crate::request::Outcome;
use crate::request::Reason;
use crate::request::Refusal;
use crate::request::open_tries::OpenTries;
use crate::request::target::Target;

/// What is to begin next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Next {
    /// Nothing: the tries under way go on.
    Wait,
    /// A try, now or not at all.
    Now,
    /// A try beside one whose peer may be gone, as soon as there is a target for it.
    Beside,
    /// The same, once the share of repeats may have grown.
    Later,
}

/// What has become of the tries of one request.
pub(crate) struct Progress<'a> {
    /// Tries under way. Empty only while a try is to begin now.
    pub(crate) open: OpenTries<'a>,
    pub(crate) next: Next,
    /// What ended tries came to: a request that one of them may have run was not refused.
    pub(crate) kept: Option<Outcome>,
    /// Where it went, if other instances may serve it too.
    pub(crate) tried: Vec<SocketAddr>,
    /// Ended tries that reached an upstream, or may have.
    pub(crate) arrivals: u32,
    /// Tries that were refused.
    pub(crate) refusals: u32,
    /// Tries so far.
    pub(crate) tries: u32,
    /// Whether each try counts as a repeat.
    pub(crate) repeated: bool,
    /// Whether only the owner of its key can serve it.
    keyed: bool,
}

impl Progress<'_> {
    /// No try of `call` yet.
    pub(crate) fn new(call: &Call) -> Self {
        Self {
            open: OpenTries::default(),
            next: Next::Now,
            kept: None,
            tried: Vec::new(),
            arrivals: 0,
            refusals: 0,
            tries: 0,
            repeated: call.retry.get(),
            keyed: call.key.is_some(),
        }
    }

    /// Tries that may have run, or may run still.
    pub(crate) fn may_have_run(&self) -> u32 {
        self.arrivals + self.open.count()
    }

    /// Notes that a further try goes elsewhere.
    pub(crate) fn note_tried(&mut self, target: Target) {
        if !self.keyed {
            self.tried.push(target.address);
        }
    }

    /// What the caller is told if `outcome` is the last one.
    pub(crate) fn end(&mut self, outcome: Outcome) -> Outcome {
        outcome.or_earlier(self.kept.take())
    }

    /// What the caller is told if no target is found for want of `refusal`.
    pub(crate) fn end_unsent(&mut self, refusal: Refusal) -> Outcome {
        match self.kept.take() {
            // No instance is left to try: what the last one said tells more.
            Some(kept) if refusal.reason == Reason::NoInstance => kept,
            kept => Outcome::Refused(refusal).or_earlier(kept),
        }
    }
}
